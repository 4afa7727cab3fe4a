#include "scheduling/runtime_estimator.h"

#include <algorithm>
#include <cmath>

namespace verbenalever {

namespace {

constexpr std::uint32_t enough_reports = 8;
/// With more reports than this the older half counts for less.
constexpr std::uint32_t most_reports = 512;
/// Upper bounds of buckets grow by this factor from one millisecond on.
constexpr double bucket_growth = 1.5;

std::size_t bucket_of(milliseconds span, std::size_t buckets)
{
    const auto length = static_cast<double>(std::max<std::int64_t>(span.count(), 1));
    const auto bucket = std::ceil(std::log(length) / std::log(bucket_growth) - 1e-9);
    return std::min(static_cast<std::size_t>(bucket), buckets - 1);
}

milliseconds upper_bound_of(std::size_t bucket)
{
    return milliseconds(
        static_cast<std::int64_t>(std::pow(bucket_growth, static_cast<double>(bucket))));
}

} // namespace

void runtime_estimator::report(std::string_view team, std::string_view queue, milliseconds span)
{
    auto& seen = this->teams[std::string(team)][std::string(queue)];
    ++seen.counts[bucket_of(span, buckets)];
    if (++seen.total < most_reports)
        return;
    seen.total = 0;
    for (auto& count : seen.counts) {
        count /= 2;
        seen.total += count;
    }
}

std::optional<milliseconds> runtime_estimator::estimate(std::string_view team,
                                                        std::string_view queue, double part) const
{
    const auto known = this->teams.find(team);
    if (known == this->teams.end())
        return std::nullopt;
    const auto found = known->second.find(queue);
    if (found == known->second.end() || found->second.total < enough_reports)
        return std::nullopt;
    const auto rank = part * static_cast<double>(found->second.total);
    double passed = 0;
    for (std::size_t bucket = 0; bucket < buckets; ++bucket) {
        passed += found->second.counts[bucket];
        if (passed >= rank && passed > 0)
            return upper_bound_of(bucket);
    }
    return upper_bound_of(buckets - 1);
}

void runtime_estimator::forget(std::string_view team)
{
    if (const auto known = this->teams.find(team); known != this->teams.end())
        this->teams.erase(known);
}

} // namespace verbenalever
