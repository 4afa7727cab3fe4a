#include "flags.h"

DEFINE_string(entry, "127.0.0.1:8000", "address of the entry daemon");
DEFINE_string(key, "", "API key; better set by the environment variable VERBENALEVER_KEY");
DEFINE_bool(json, false, "print JSON instead of a table");
DEFINE_int32(timeout_ms, 30000, "timeout of one call in milliseconds");
DEFINE_string(body, "{}", "body of the request");
DEFINE_int32(deadline_ms, 0,
             "deadline of the request in milliseconds; zero for the queue's default");
DEFINE_bool(repeatable, false, "the request may run more than once");
DEFINE_string(request_id, "", "the caller's own id, for safe resends");
DEFINE_int32(tasks, 1, "number of tasks of the job");
DEFINE_string(job_id, "", "the caller's own id of the job, for safe resubmission");
DEFINE_bool(gang, false, "start all tasks of the job together or none");
DEFINE_bool(service, false, "restart tasks when they end, until the job is cancelled");
DEFINE_bool(once, false, "run each task at most once");
DEFINE_string(demand, "", "resources that each task needs, as JSON; empty for the queue's default");
DEFINE_string(command, "{}", "command that the targets run, as JSON");
DEFINE_int64(base, -1, "revision that the change is based on; -1 for the current one");
DEFINE_double(rate, 100, "requests per second");
DEFINE_double(duration_s, 5, "time to send requests for, in seconds");
DEFINE_string(to, "", "comma-separated ADDRESS:PORT list to send to; empty for --entry");
DEFINE_string(path, "", "path to post to instead of /v1/requests/QUEUE");
DEFINE_string(queues, "", "comma-separated QUEUE=WEIGHT list");
DEFINE_string(keys, "", "comma-separated API keys, used in round-robin order");
DEFINE_int32(work_ms, 0, "time that the target works on each request, in milliseconds");
DEFINE_bool(request_ids, false, "send a unique Request-Id with each request");
DEFINE_uint32(seed, 1, "seed of the arrival times");
DEFINE_bool(csv, false, "print CSV");
DEFINE_string(limits, "", "comma-separated TEAM=SLOTS upper limits to check");
DEFINE_int32(grace_ms, 5000,
             "time in milliseconds during which starts are still allowed after a target starts to "
             "leave or a zone is taken out");
DEFINE_bool(wait, false, "wait until the change is in force at every entry, at most 30 s");
DEFINE_bool(compare, false, "compare with the version in force");
DEFINE_bool(live_targets, false, "check that live targets can hold a task of each queue");
DEFINE_string(id, "", "id of the key to grant; empty to generate one");
DEFINE_string(drain, "let-end", "what happens to running work: let-end or move");
DEFINE_bool(lower, false, "only reduce the limit, at once; works without the store");
DEFINE_int32(interval_ms, 2000, "time between two displays of the fleet, in milliseconds");
DEFINE_int32(times, 0, "how many times to display the fleet; zero for no end");
DEFINE_string(job, "", "only events of this job");
DEFINE_string(task, "", "only events of this task");
DEFINE_string(request, "", "only events of this request");
DEFINE_string(target, "", "only events on or about this target");
DEFINE_string(team, "", "only events of this team");
