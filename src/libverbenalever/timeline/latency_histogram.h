#pragma once

#include "loop/clock.h"

#include <array>
#include <cstdint>

namespace verbenalever {

/// Histogram with logarithmic buckets, 16 per doubling: quantiles are accurate to 5 percent.
class latency_histogram {
public:
    void add(microseconds latency);

    /// @param fraction 0.5 for the median
    /// @return the upper bound of the bucket that contains the quantile; zero when empty
    [[nodiscard]] microseconds quantile(double fraction) const;

    [[nodiscard]] std::int64_t count() const;

private:
    static constexpr std::size_t buckets_per_doubling = 16;
    static constexpr std::size_t doublings = 40;

    std::array<std::int64_t, buckets_per_doubling * doublings> buckets{};
    std::int64_t total = 0;
};

} // namespace verbenalever
