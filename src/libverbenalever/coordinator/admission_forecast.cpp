#include "coordinator/admission_forecast.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace verbenalever {

namespace {

/// A result that takes this many times its latency objective is useless to its caller.
constexpr int useless_after_objectives = 3;
/// Of fewer workflows ahead the sizes and run times differ too much for a forecast.
constexpr std::int64_t min_workflows_ahead = 10;
/// Bounds of the delay before a retry, in seconds, for priorities 0, 1, and 2 and above. Callers
/// try a refused submission four more times, and urgent work is of no use after a few seconds.
constexpr std::array<double, 3> longest_retry_s{2, 6, 12};
/// Shortest range over which the return of callers is spread while the store does not answer: an
/// outage lasts several seconds, and four retries after one second each would end before it.
constexpr double stall_spread_s = 2;
constexpr double ms_per_s = 1000;

/// @return longest delay before a retry in seconds
double longest_retry(int priority)
{
    const auto last = static_cast<int>(longest_retry_s.size()) - 1;
    return longest_retry_s[static_cast<std::size_t>(std::clamp(priority, 0, last))];
}

} // namespace

milliseconds admission_forecast::predict_wait(const bottleneck& at, std::int64_t processors)
{
    if (at.capacity <= 0 || at.used_by_them + at.ahead.processors_milli + processors <= at.capacity)
        return milliseconds(0);
    return milliseconds(at.ahead.processor_time / at.capacity);
}

std::optional<admission_forecast::refusal> admission_forecast::judge(const conditions& now)
{
    if (now.objective.count() <= 0)
        return std::nullopt;
    struct forecast {
        cause why;
        milliseconds wait;
        std::int64_t workflows;
    };
    const auto advisor_wait = now.advisor_lines == 0
                                  ? milliseconds(0)
                                  : milliseconds(now.questions.question_ms /
                                                 static_cast<std::int64_t>(now.advisor_lines));
    const std::array forecasts{
        forecast{cause::team, predict_wait(now.team, now.processors), now.team.ahead.workflows},
        forecast{cause::fleet, predict_wait(now.fleet, now.processors), now.fleet.ahead.workflows},
        forecast{cause::advisor, advisor_wait, now.questions.questions}};
    std::optional<refusal> longest;
    for (const auto& [why, wait, workflows] : forecasts) {
        if (workflows < min_workflows_ahead || wait <= now.objective * useless_after_objectives ||
            (longest && wait <= longest->wait))
            continue;
        longest = refusal{.why = why, .wait = wait, .room_after = wait - now.objective};
    }
    return longest;
}

std::int64_t admission_forecast::retry_after_refusal(int priority, milliseconds room_after,
                                                     double spread)
{
    const double longest = longest_retry(priority);
    const double room_s =
        std::clamp(static_cast<double>(room_after.count()) / ms_per_s, 1.0, longest / 2);
    // From the expected time to twice that, so that the callers do not come back together.
    return std::lround(room_s * (1 + spread));
}

std::int64_t admission_forecast::retry_after_stall(int priority, milliseconds backlog,
                                                   double spread)
{
    const double shortest_range = priority <= 0 ? 0 : stall_spread_s;
    const double range_s =
        std::clamp(static_cast<double>(backlog.count()) / ms_per_s, shortest_range,
                   std::max(shortest_range, longest_retry(priority) - 1));
    // Whole seconds from 1 to 1 + range, each equally likely.
    return 1 + static_cast<std::int64_t>(std::floor(spread * (std::floor(range_s) + 1)));
}

bool admission_forecast::is_useless(milliseconds late, milliseconds objective)
{
    return objective.count() > 0 && late > objective * (useless_after_objectives - 1);
}

std::string_view admission_forecast::cause_name(cause why)
{
    constexpr std::array<std::string_view, 3> names{"team", "fleet", "advisor"};
    return names[static_cast<std::size_t>(why)];
}

} // namespace verbenalever
