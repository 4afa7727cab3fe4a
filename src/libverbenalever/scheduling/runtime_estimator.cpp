#include "scheduling/runtime_estimator.h"

#include <algorithm>
#include <cmath>

namespace verbenalever {

namespace {

constexpr std::uint32_t min_samples = 8;
/// When a histogram reaches this total, all its counts are halved.
constexpr std::uint32_t max_samples = 512;
/// Ratio of the upper bounds of consecutive buckets; that of the first is one millisecond.
constexpr double bucket_growth = 1.5;

std::size_t bucket_for(milliseconds run_time, std::size_t bucket_count)
{
    const auto run_time_ms = static_cast<double>(std::max<std::int64_t>(run_time.count(), 1));
    const auto bucket = std::ceil(std::log(run_time_ms) / std::log(bucket_growth) - 1e-9);
    return std::min(static_cast<std::size_t>(bucket), bucket_count - 1);
}

milliseconds upper_bound_of(std::size_t bucket)
{
    return milliseconds(
        static_cast<std::int64_t>(std::pow(bucket_growth, static_cast<double>(bucket))));
}

} // namespace

void runtime_estimator::add(std::string_view team, std::string_view queue, milliseconds run_time)
{
    auto& histogram = this->histograms_by_team[std::string(team)][std::string(queue)];
    ++histogram.counts[bucket_for(run_time, bucket_count)];
    if (++histogram.total < max_samples)
        return;
    histogram.total = 0;
    for (auto& count : histogram.counts) {
        count /= 2;
        histogram.total += count;
    }
}

std::optional<milliseconds>
runtime_estimator::estimate(std::string_view team, std::string_view queue, double quantile) const
{
    const auto found_team = this->histograms_by_team.find(team);
    if (found_team == this->histograms_by_team.end())
        return std::nullopt;
    const auto found_queue = found_team->second.find(queue);
    if (found_queue == found_team->second.end() || found_queue->second.total < min_samples)
        return std::nullopt;
    const auto rank = quantile * static_cast<double>(found_queue->second.total);
    double cumulative = 0;
    for (std::size_t bucket = 0; bucket < bucket_count; ++bucket) {
        cumulative += found_queue->second.counts[bucket];
        if (cumulative >= rank && cumulative > 0)
            return upper_bound_of(bucket);
    }
    return upper_bound_of(bucket_count - 1);
}

void runtime_estimator::remove_team(std::string_view team)
{
    if (const auto found_team = this->histograms_by_team.find(team);
        found_team != this->histograms_by_team.end())
        this->histograms_by_team.erase(found_team);
}

} // namespace verbenalever
