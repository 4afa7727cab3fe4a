#include "requests/request_report.h"

#include "requests/pending_request.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"

#include <map>

namespace verbenalever {

namespace {

/// Names of the counter and the event of one outcome.
struct outcome_names {
    const char* counter;
    const char* event;
};

const std::map<attempt_outcome, outcome_names> names_by_outcome = {
    {attempt_outcome::answered, {"requests_answered", "request_answered"}},
    {attempt_outcome::not_run, {"requests_not_run", "request_not_run"}},
    {attempt_outcome::unknown, {"requests_outcome_unknown", "request_outcome_unknown"}},
};

} // namespace

void report_answer(const pending_request& request, const request_answer& answer, counters& metrics,
                   const event_log& log)
{
    const auto& [counter, event] = names_by_outcome.at(answer.outcome);
    metrics.add(counter);
    log.write("requests", event,
              {{"request", request.work.id},
               {"status", answer.response.status},
               {"code", answer.code},
               {"attempts", request.attempts}});
}

} // namespace verbenalever
