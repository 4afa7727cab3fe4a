#include "change_verbs.h"
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
    verb{"request", "QUEUE", "send one request and print the response",
         "body deadline_ms repeatable request_id", run_request},
    verb{"job submit", "QUEUE", "submit a job", "tasks demand command job_id gang service once",
         run_job_submit},
    verb{"job show", "[JOB]", "show a job's tasks", "json", run_job_show},
    verb{"job wait", "[JOB]", "wait until a job has finished", "json timeout_ms", run_job_wait},
    verb{"job cancel", "[JOB]", "cancel a job permanently", "json", run_job_cancel},
    verb{"job list", "[QUEUE]", "list the team's jobs", "json", run_job_list},
    verb{"config check", "BASE [OVERLAY]",
         "check a configuration, merged with a site's overlay, before it is applied",
         "compare live_targets", run_config_check},
    verb{"config diff", "BASE [OVERLAY]", "compare files with the stored configuration", "",
         run_config_diff},
    verb{"config apply", "BASE [OVERLAY]", "replace the stored configuration with files",
         "base wait json", run_config_apply},
    verb{"config show", "", "print the stored configuration and the restrictions not yet stored",
         "json", run_config_show},
    verb{"config history", "", "list the last revisions", "json", run_config_history},
    verb{"key make", "", "generate a key and print it with its SHA-256", "", run_key_make},
    verb{"key grant", "TEAM", "generate and grant a team's key and print it once",
         "id base wait json", run_key_grant},
    verb{"key grant-operator", "", "generate and grant an operator's key and print it once",
         "id base wait json", run_key_grant_operator},
    verb{"key withdraw", "ID", "revoke a key at once", "wait json", run_key_withdraw},
    verb{"key list", "", "list keys by their ids", "json", run_key_list},
    verb{"zone out", "NAME", "take an availability zone out of service at once", "drain wait json",
         run_zone_out},
    verb{"zone in", "NAME", "bring an availability zone back into service", "base wait json",
         run_zone_in},
    verb{"zones", "", "list the availability zones out of service", "json", run_zones},
    verb{"team add", "NAME", "create a team", "base wait json", run_team_add},
    verb{"team remove", "NAME", "remove a team", "base wait json", run_team_remove},
    verb{"team share", "NAME SHARE", "set a team's share", "base wait json", run_team_share},
    verb{"team limit", "NAME JSON", "set a team's upper limit; null for none",
         "lower base wait json", run_team_limit},
    verb{"teams", "", "list the teams", "json", run_teams},
    verb{"queue stop", "NAME", "stop a queue at once", "wait json", run_queue_stop},
    verb{"queue start", "NAME", "let a stopped queue accept work again", "base wait json",
         run_queue_start},
    verb{"queues", "", "list the queues", "json", run_queues},
    verb{"restrictions", "", "list restrictions in force and not yet stored", "json",
         run_restrictions},
    verb{"entries", "", "list the entry daemons", "json", run_entries},
    verb{"drain", "", "drain the entry before a planned shutdown", "", run_drain},
    verb{"targets", "", "list the targets of the entry's zone", "json", run_targets},
    verb{"top", "", "display the fleet, repeated at intervals", "interval_ms times", run_top},
    verb{"timeline show", "FILE...", "merge the logs of all processes",
         "job task request target team", run_timeline_show},
    verb{"timeline svg", "FILE...", "draw the logs of all processes as one SVG",
         "job task request target team", run_timeline_svg},
    verb{"timeline waits", "FILE...", "show where late workflows spent their time", "job team",
         run_timeline_waits},
    verb{"timeline check", "FILE...", "check that the logs of all processes satisfy the invariants",
         "limits grace_ms", run_timeline_check},
    verb{"load", "", "send open-loop load and print latencies",
         "rate duration_s to path queues keys work_ms deadline_ms repeatable seed csv", run_load},
};

} // namespace

std::span<const verb> all_verbs()
{
    return verbs;
}

} // namespace tool
