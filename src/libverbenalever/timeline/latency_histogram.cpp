#include "timeline/latency_histogram.h"

#include <algorithm>
#include <cmath>

namespace verbenalever {

void latency_histogram::add(microseconds latency)
{
    const auto value = static_cast<double>(std::max<std::int64_t>(latency.count(), 1));
    const auto bucket = static_cast<std::size_t>(std::log2(value) * buckets_per_doubling);
    ++this->buckets[std::min(bucket, this->buckets.size() - 1)];
    ++this->total;
}

microseconds latency_histogram::quantile(double fraction) const
{
    const auto rank = static_cast<std::int64_t>(std::ceil(fraction * this->total));
    std::int64_t cumulative = 0;
    for (std::size_t i = 0; i < this->buckets.size(); ++i) {
        cumulative += this->buckets[i];
        if (cumulative >= rank && cumulative > 0) {
            const auto edge = std::exp2(static_cast<double>(i + 1) / buckets_per_doubling);
            return microseconds(static_cast<std::int64_t>(std::ceil(edge)));
        }
    }
    return microseconds(0);
}

std::int64_t latency_histogram::count() const
{
    return this->total;
}

} // namespace verbenalever
