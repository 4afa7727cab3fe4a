#include "scheduling/target_slowness_tracker.h"

#include <algorithm>

namespace verbenalever {

namespace {

/// Weight of a new sample in the moving average of a target, and in that of a queue, which gets
/// more samples.
constexpr double target_average_weight = 0.1;
constexpr double queue_average_weight = 0.01;
/// Number of a target's mean response times after which its silence raises its slowness.
constexpr double max_usual_silence = 3;
constexpr double min_response_seconds = 1e-4;

} // namespace

target_slowness_tracker::target_state& target_slowness_tracker::state_of(std::string_view target)
{
    if (const auto found = this->states.find(target); found != this->states.end())
        return found->second;
    return this->states[std::string(target)];
}

void target_slowness_tracker::request_sent(std::string_view target, monotonic_time now)
{
    this->latest_time = std::max(this->latest_time, now);
    auto& state = this->state_of(target);
    if (state.unanswered++ == 0)
        state.silent_since = now;
}

void target_slowness_tracker::request_answered(std::string_view target, std::string_view queue,
                                               milliseconds response_time, monotonic_time now)
{
    this->latest_time = std::max(this->latest_time, now);
    const double seconds =
        std::max(std::chrono::duration<double>(response_time).count(), min_response_seconds);
    auto mean = this->mean_seconds_by_queue.find(queue);
    if (mean == this->mean_seconds_by_queue.end())
        mean = this->mean_seconds_by_queue.emplace(queue, seconds).first;
    mean->second += queue_average_weight * (seconds - mean->second);
    auto& state = this->state_of(target);
    state.slowness += target_average_weight * (seconds / mean->second - state.slowness);
    state.mean_seconds += target_average_weight * (seconds - state.mean_seconds);
    state.silent_since = now;
    state.unanswered = std::max<std::int64_t>(state.unanswered - 1, 0);
}

void target_slowness_tracker::request_failed(std::string_view target)
{
    auto& state = this->state_of(target);
    state.unanswered = std::max<std::int64_t>(state.unanswered - 1, 0);
}

double target_slowness_tracker::slowness(std::string_view target) const
{
    const auto found = this->states.find(target);
    if (found == this->states.end())
        return 1;
    const auto& state = found->second;
    if (state.unanswered == 0 || state.mean_seconds <= 0)
        return state.slowness;
    const double silent_seconds =
        std::chrono::duration<double>(this->latest_time - state.silent_since).count();
    if (silent_seconds <= max_usual_silence * state.mean_seconds)
        return state.slowness;
    return std::max(state.slowness, state.slowness * silent_seconds / state.mean_seconds);
}

} // namespace verbenalever
