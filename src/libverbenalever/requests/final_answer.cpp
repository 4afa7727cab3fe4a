#include "requests/final_answer.h"

#include "http/problem.h"

#include <fmt/format.h>

namespace verbenalever {

namespace {

constexpr int status_conflict = 409;
constexpr int status_bad_gateway = 502;
constexpr int status_gateway_timeout = 504;

} // namespace

request_answer not_run_answer(int status, std::string_view code, std::string_view message,
                              milliseconds retry_after)
{
    const problem refusal{.status = status,
                          .outcome = work_outcome::not_run,
                          .code = code,
                          .message = message,
                          .retry_after = retry_after};
    return {.outcome = attempt_outcome::not_run, .response = refusal.response(), .code = code};
}

request_answer outcome_unknown_answer(const attempt_result& result)
{
    const problem failure{.status = result.timed_out ? status_gateway_timeout : status_bad_gateway,
                          .outcome = work_outcome::unknown,
                          .code = result.code,
                          .message = "no complete answer was received; the request may have run",
                          .retry_after = std::nullopt};
    return {
        .outcome = attempt_outcome::unknown, .response = failure.response(), .code = result.code};
}

request_answer id_claimed_elsewhere_answer(const std::string& holder)
{
    const auto message = fmt::format(
        "a request with this Request-Id was accepted at {}; resend it there for its answer",
        holder);
    const problem conflict{.status = status_conflict,
                           .outcome = work_outcome::unknown,
                           .code = "already_taken",
                           .message = message,
                           .retry_after = std::nullopt};
    request_answer answer{.outcome = attempt_outcome::unknown,
                          .response = conflict.response(),
                          .code = conflict.code,
                          .repeat_to_resends = false};
    answer.response.headers.push_back({"Taken-By", holder});
    return answer;
}

} // namespace verbenalever
