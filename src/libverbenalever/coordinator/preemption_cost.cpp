#include "coordinator/preemption_cost.h"

#include <algorithm>
#include <cmath>

namespace verbenalever {

namespace {

/// Durations of stops are not used until this many stops have ended.
constexpr std::int64_t min_stops = 5;
/// Weight of a stop in the moving averages once more stops than its inverse have ended.
constexpr double min_stop_weight = 1.0 / 16;
/// A longer stop counts as this long: the target was not reachable meanwhile.
constexpr milliseconds max_stop_time{3000};
/// When the durations of stops are spread evenly, the longest one takes the mean plus this many
/// mean deviations.
constexpr double long_stop_deviations = 2;
/// Time until the end of a run is known and its capacity is used.
constexpr milliseconds report_delay{50};
/// Tasks that must be expected to fit for each one that waits: about half of the runs last longer
/// than predicted.
constexpr std::uint32_t expected_tasks_per_task = 2;
/// Lost work may be this many times the work of the step. A single run that is stopped loses less
/// in most cases, so that the limit applies to many runs and to large gangs.
constexpr double max_lost_work_factor = 10;
/// A task whose runs were stopped this often keeps its next run.
constexpr std::uint32_t max_stops_of_task = 3;

milliseconds to_time(double time_ms)
{
    return milliseconds(std::llround(time_ms));
}

milliseconds slack_of(const preemptor_outlook& step)
{
    return step.time_left - step.run_time;
}

/// A task that fits on a target after the ends of some of its runs.
struct expected_fit {
    milliseconds wait{0};
    std::size_t target = 0;
    std::size_t end_count = 0; ///< of the target's ends, in their order
};

/// Adds the tasks that fit on one target within @p longest, at most @p tasks.
void add_fits(std::size_t target, const capacity_forecast& forecast, const resources& need,
              std::uint32_t tasks, milliseconds longest, std::vector<expected_fit>& fits)
{
    auto available = forecast.available;
    milliseconds wait{0};
    std::size_t ended = 0;
    std::uint32_t found = 0;
    while (found < tasks) {
        if (need.fits_within(available)) {
            available -= need;
            fits.push_back({wait, target, ended});
            ++found;
            continue;
        }
        if (ended == forecast.ends.size() || forecast.ends[ended].rest > longest)
            return;
        wait = forecast.ends[ended].rest;
        available += forecast.ends[ended++].freed;
    }
}

} // namespace

void preemption_cost::learn_stop(milliseconds took)
{
    const auto time_ms = static_cast<double>(std::min(took, max_stop_time).count());
    ++this->stops;
    const double weight = std::max(min_stop_weight, 1 / static_cast<double>(this->stops));
    this->mean_ms += weight * (time_ms - this->mean_ms);
    this->deviation_ms += weight * (std::abs(time_ms - this->mean_ms) - this->deviation_ms);
}

std::optional<milliseconds> preemption_cost::stop_time() const
{
    if (this->stops < min_stops)
        return std::nullopt;
    return to_time(this->mean_ms);
}

bool preemption_cost::too_late(const preemptor_outlook& step) const
{
    // With a chance that a short stop is enough the step still preempts.
    const double short_stop_ms = std::max(0.0, this->mean_ms - this->deviation_ms);
    return this->stops >= min_stops && slack_of(step) < to_time(short_stop_ms);
}

milliseconds preemption_cost::longest_wait(const preemptor_outlook& step) const
{
    if (this->stops < min_stops)
        return milliseconds(0);
    const auto slack = slack_of(step);
    const auto long_stop = to_time(this->mean_ms + long_stop_deviations * this->deviation_ms);
    return std::min(slack, std::max(to_time(this->mean_ms), slack - long_stop)) - report_delay;
}

bool preemption_cost::ends_during_stop(const run_outlook& run) const
{
    const auto rest = expected_rest(run);
    const auto stop = this->stop_time();
    return rest && stop && *rest <= *stop;
}

std::optional<milliseconds> preemption_cost::expected_rest(const run_outlook& run)
{
    constexpr double complete_percent = 100;
    if (run.predicted.count() == 0 || run.age >= run.predicted)
        return std::nullopt;
    auto rest = run.predicted - run.age;
    // Progress shows runs on slow targets and long ones before they exceed the prediction. One that
    // resumed from a checkpoint began with a part of its work done, and ends earlier than assumed.
    if (run.percent > 0) {
        const auto total = to_time(static_cast<double>(run.age_at_percent.count()) *
                                   complete_percent / std::min(run.percent, complete_percent));
        rest = std::max(rest, total - run.age);
    }
    return rest;
}

std::optional<awaited_ends> preemption_cost::find_ends(std::span<const capacity_forecast> targets,
                                                       const resources& need, std::uint32_t tasks,
                                                       milliseconds longest)
{
    const std::size_t wanted = std::size_t{tasks} * expected_tasks_per_task;
    std::vector<expected_fit> fits;
    for (std::size_t target = 0; target < targets.size(); ++target)
        add_fits(target, targets[target], need, tasks * expected_tasks_per_task, longest, fits);
    if (tasks == 0 || fits.size() < wanted)
        return std::nullopt;
    std::ranges::stable_sort(fits, {}, &expected_fit::wait);
    awaited_ends found;
    std::vector<std::size_t> end_counts(targets.size(), 0);
    for (std::size_t index = 0; index < wanted; ++index) {
        const auto& fit = fits[index];
        found.wait = fit.wait;
        auto& counted = end_counts[fit.target];
        for (; counted < fit.end_count; ++counted)
            found.runs.push_back(targets[fit.target].ends[counted].run);
    }
    found.wait += report_delay;
    return found;
}

double preemption_cost::lost_work(const stop_candidate& run)
{
    return static_cast<double>(run.repeated.count()) * static_cast<double>(run.processors_milli) *
           run.members;
}

double preemption_cost::max_lost_work(const preemptor_outlook& step)
{
    return step.work * max_lost_work_factor;
}

bool preemption_cost::stopped_too_often(std::uint32_t stops)
{
    return stops >= max_stops_of_task;
}

} // namespace verbenalever
