#include "timeline/trace_waits.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <map>
#include <string_view>
#include <utility>

namespace verbenalever {

namespace {

/// Fields of a `workflow_ended` line with the time spent in each state, and their column headings.
constexpr std::array<std::pair<std::string_view, std::string_view>, 11> causes{
    {{"earlier_coordinator_ms", "earlier"},
     {"queued_ms", "queued"},
     {"store_away_ms", "store"},
     {"team_limit_ms", "limit"},
     {"advisor_busy_ms", "no advisor"},
     {"advice_ms", "advice"},
     {"processors_ms", "processors"},
     {"memory_ms", "memory"},
     {"run_ms", "run"},
     {"run_again_ms", "run again"},
     {"end_kept_ms", "end kept"}}};
/// A workflow that takes longer than this many times its objective is useless to its caller.
constexpr std::int64_t useless_factor = 3;

struct wait_totals {
    std::int64_t count = 0;
    std::int64_t took_ms = 0;
    std::array<std::int64_t, causes.size()> spent_ms{};
};

std::string format_row(std::string_view queue, std::string_view lateness, const wait_totals& totals)
{
    auto line = fmt::format("{:<20}{:<8}{:>6}{:>9}", queue, lateness, totals.count,
                            totals.took_ms / totals.count);
    auto unaccounted_ms = totals.took_ms;
    for (const auto cause_ms : totals.spent_ms) {
        fmt::format_to(std::back_inserter(line), "{:>11}", 100 * cause_ms / totals.took_ms);
        unaccounted_ms -= cause_ms;
    }
    // Each of several steps that wait at the same time counts in full; the remainder may be
    // negative.
    fmt::format_to(std::back_inserter(line), "{:>11}\n", 100 * unaccounted_ms / totals.took_ms);
    return line;
}

} // namespace

std::string trace_waits(std::span<const trace_event> events)
{
    std::map<std::pair<std::string, std::string_view>, wait_totals> totals_by_group;
    for (const auto& event : events) {
        const auto took = event.number("took_ms");
        if (event.event != "workflow_ended" || event.text("state") != "completed" || took <= 0)
            continue;
        const bool is_useful = took <= useless_factor * event.number("objective_ms");
        auto& totals = totals_by_group[{event.text("queue"), is_useful ? "late" : "useless"}];
        ++totals.count;
        totals.took_ms += took;
        for (std::size_t cause = 0; cause < causes.size(); ++cause)
            totals.spent_ms[cause] += event.number(causes[cause].first);
    }
    auto text = fmt::format("{:<20}{:<8}{:>6}{:>9}", "queue", "", "number", "mean ms");
    for (const auto& [field, heading] : causes)
        fmt::format_to(std::back_inserter(text), "{:>11}", heading);
    text += fmt::format("{:>11}\n", "else");
    for (const auto& [key, totals] : totals_by_group)
        text += format_row(key.first, key.second, totals);
    return text;
}

} // namespace verbenalever
