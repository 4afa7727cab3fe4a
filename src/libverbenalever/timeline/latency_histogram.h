#pragma once

#include "loop/clock.h"

#include <array>
#include <cstdint>

namespace verbenalever {

/// Latencies in logarithmic buckets: 16 to each doubling, so that a quantile is within 5 percent.
class latency_histogram {
public:
    void add(microseconds latency);

    /// @param fraction 0.5 for the median
    /// @return the upper edge of the bucket that holds the quantile; zero when empty
    [[nodiscard]] microseconds quantile(double fraction) const;

    [[nodiscard]] std::int64_t count() const;

private:
    static constexpr std::size_t buckets_per_doubling = 16;
    static constexpr std::size_t doublings = 40;

    std::array<std::int64_t, buckets_per_doubling * doublings> buckets{};
    std::int64_t total = 0;
};

} // namespace verbenalever
