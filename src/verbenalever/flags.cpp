#include "flags.h"

DEFINE_string(entry, "127.0.0.1:8000", "entry daemon to talk to");
DEFINE_string(key, "", "key to present; better set by the environment variable VERBENALEVER_KEY");
DEFINE_bool(json, false, "print JSON in place of a table");
DEFINE_int32(timeout_ms, 30000, "longest wait for one answer");
DEFINE_string(body, "{}", "body of the request");
DEFINE_int32(deadline_ms, 0, "deadline of the request; zero for the queue's own");
DEFINE_bool(repeatable, false, "the request may run more than once");
DEFINE_string(request_id, "", "the caller's own id, for safe resends");
DEFINE_int32(tasks, 1, "number of tasks of the job");
DEFINE_string(demand, "", "what each task takes, as JSON; empty for the queue's own");
DEFINE_string(command, "{}", "what targets run, as JSON");
DEFINE_int64(base, -1, "revision that the change was made from; -1 for the one in force");
DEFINE_double(rate, 100, "requests a second");
DEFINE_double(duration_s, 5, "seconds to send for");
DEFINE_string(to, "", "comma-separated ADDRESS:PORT list to send to; empty for --entry");
DEFINE_string(path, "", "path to post to in place of /v1/requests/QUEUE");
DEFINE_string(queues, "", "comma-separated QUEUE=WEIGHT list");
DEFINE_string(keys, "", "comma-separated keys, used in turn");
DEFINE_int32(work_ms, 0, "time that the target works on each request");
DEFINE_bool(request_ids, false, "give each request of the load an id of its own");
DEFINE_uint32(seed, 1, "seed of the arrival times");
DEFINE_bool(csv, false, "print CSV");
DEFINE_string(limits, "", "comma-separated TEAM=SLOTS upper limits to check");
DEFINE_int32(grace_ms, 5000, "starts allowed for this long after a target or zone goes");
