#include "config_verbs.h"
#include "fleet_verbs.h"
#include "job_verbs.h"
#include "load_verb.h"
#include "request_verb.h"
#include "timeline_verbs.h"
#include "verb.h"

#include <array>

namespace tool {

namespace {

constexpr std::array verbs{
    verb{"request", "QUEUE", "send one request and print its answer",
         "body deadline_ms repeatable request_id", run_request},
    verb{"job submit", "QUEUE", "submit a job", "tasks demand command job_id gang service once",
         run_job_submit},
    verb{"job show", "[JOB]", "show a job's tasks", "json", run_job_show},
    verb{"job wait", "[JOB]", "wait until a job has finished", "json timeout_ms", run_job_wait},
    verb{"job cancel", "[JOB]", "cancel a job for good", "json", run_job_cancel},
    verb{"job list", "[QUEUE]", "list the team's jobs", "json", run_job_list},
    verb{"config check", "FILE", "check a configuration file", "", run_config_check},
    verb{"config show", "", "print the configuration in force", "json", run_config_show},
    verb{"config apply", "FILE", "make a file the configuration", "base", run_config_apply},
    verb{"key make", "", "make a new key and print it with its SHA-256", "", run_key_make},
    verb{"entries", "", "list the entry daemons", "json", run_entries},
    verb{"targets", "", "list the targets of the entry's zone", "json", run_targets},
    verb{"timeline check", "FILE...",
         "check what must always hold against the logs of all processes", "limits grace_ms",
         run_timeline_check},
    verb{"load", "", "send open-loop load and print latencies",
         "rate duration_s to path queues keys work_ms deadline_ms repeatable seed csv", run_load},
};

} // namespace

std::span<const verb> all_verbs()
{
    return verbs;
}

} // namespace tool
