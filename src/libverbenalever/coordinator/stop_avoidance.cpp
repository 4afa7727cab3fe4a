#include "coordinator/stop_avoidance.h"

#include "coordinator/fleet_target.h"
#include "coordinator/workflow.h"
#include "ports/task_order.h"

#include <algorithm>
#include <cmath>

namespace verbenalever {

namespace {

/// The mean duration is not used until this many stops have been seen.
constexpr std::int64_t min_stops = 5;
/// Least weight of a stop in the moving average.
constexpr double min_stop_weight = 1.0 / 16;
/// A longer stop counts as this long: the target was not reachable meanwhile.
constexpr milliseconds max_stop_time{3000};
/// A task whose runs were stopped this often is not stopped again.
constexpr std::uint32_t max_stops_of_task = 3;

} // namespace

stop_avoidance::stop_avoidance(const length_models& run_lengths) : run_lengths(run_lengths) {}

void stop_avoidance::learn_stop(milliseconds took)
{
    ++this->stops;
    const auto weight = std::max(min_stop_weight, 1 / static_cast<double>(this->stops));
    this->mean_ms +=
        weight * (static_cast<double>(std::min(took, max_stop_time).count()) - this->mean_ms);
}

std::optional<milliseconds> stop_avoidance::stop_time() const
{
    if (this->stops < min_stops)
        return std::nullopt;
    return milliseconds(std::llround(this->mean_ms));
}

avoided_stop stop_avoidance::judge(const placed_run& placed, const task_name& task,
                                   milliseconds now) const
{
    if (placed.owner->steps[task.step].tasks[task.index].preemptions >= max_stops_of_task)
        return avoided_stop::repeated;
    return this->ends_during_stop(placed, task, now) ? avoided_stop::ending : avoided_stop::none;
}

bool stop_avoidance::ends_during_stop(const placed_run& placed, const task_name& task,
                                      milliseconds now) const
{
    const auto stop = this->stop_time();
    if (!stop)
        return false;
    const auto& record = placed.owner->record;
    const auto model = this->run_lengths.find(record.queue);
    if (model == this->run_lengths.end() || !model->second.has_learned())
        return false;
    const auto length =
        model->second.predict(milliseconds(record.spec.steps[task.step].estimated_ms));
    const auto rest = length - (now - placed.started_at);
    // The rest of a run that has lasted longer than predicted is not known.
    return rest >= milliseconds(0) && rest <= *stop;
}

} // namespace verbenalever
