#include "scheduling/target_slowness_tracker.h"

#include <algorithm>

namespace verbenalever {

namespace {

/// Part of a new answer in a target's average, and in that of a queue, which more answers feed.
constexpr double target_gain = 0.1;
constexpr double queue_gain = 0.01;
/// Silence of so many usual answer times counts against a target.
constexpr double silence_limit = 3;
constexpr double least_seconds = 1e-4;

} // namespace

target_slowness_tracker::rate& target_slowness_tracker::of(std::string_view target)
{
    if (const auto found = this->targets.find(target); found != this->targets.end())
        return found->second;
    return this->targets[std::string(target)];
}

void target_slowness_tracker::request_sent(std::string_view target, monotonic_time now)
{
    this->latest = std::max(this->latest, now);
    auto& known = this->of(target);
    if (known.out++ == 0)
        known.last_heard = now;
}

void target_slowness_tracker::request_answered(std::string_view target, std::string_view queue,
                                               milliseconds took, monotonic_time now)
{
    this->latest = std::max(this->latest, now);
    const double seconds = std::max(std::chrono::duration<double>(took).count(), least_seconds);
    auto mean = this->queue_means.find(queue);
    if (mean == this->queue_means.end())
        mean = this->queue_means.emplace(queue, seconds).first;
    mean->second += queue_gain * (seconds - mean->second);
    auto& known = this->of(target);
    known.slowness += target_gain * (seconds / mean->second - known.slowness);
    known.mean_seconds += target_gain * (seconds - known.mean_seconds);
    known.last_heard = now;
    known.out = std::max<std::int64_t>(known.out - 1, 0);
}

void target_slowness_tracker::request_failed(std::string_view target)
{
    auto& known = this->of(target);
    known.out = std::max<std::int64_t>(known.out - 1, 0);
}

double target_slowness_tracker::slowness(std::string_view target) const
{
    const auto found = this->targets.find(target);
    if (found == this->targets.end())
        return 1;
    const auto& known = found->second;
    if (known.out == 0 || known.mean_seconds <= 0)
        return known.slowness;
    const double silent = std::chrono::duration<double>(this->latest - known.last_heard).count();
    if (silent <= silence_limit * known.mean_seconds)
        return known.slowness;
    return std::max(known.slowness, known.slowness * silent / known.mean_seconds);
}

} // namespace verbenalever
