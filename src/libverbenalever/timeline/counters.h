#pragma once

#include "timeline/latency_histogram.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace verbenalever {

/// The process's own counters and gauges, shown at /metrics.
class counters {
public:
    /// Add to a counter, creating it at zero.
    void add(std::string_view name, std::int64_t amount = 1);

    /// Set a gauge.
    void set(std::string_view name, std::int64_t value);

    /// Count a latency into the histogram of that name.
    void observe(std::string_view name, microseconds latency);

    /// @return the value, zero for a name never used
    [[nodiscard]] std::int64_t value(std::string_view name) const;

    /// @return one "verbenalever_NAME VALUE" line for each, in name order; for a histogram its
    ///         quantiles in seconds and its count
    [[nodiscard]] std::string text() const;

private:
    std::map<std::string, std::int64_t, std::less<>> values;
    std::map<std::string, latency_histogram, std::less<>> latencies;
};

} // namespace verbenalever
