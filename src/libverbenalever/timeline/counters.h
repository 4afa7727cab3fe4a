#pragma once

#include "timeline/latency_histogram.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace verbenalever {

/// The counters, gauges and latency histograms of this process, served at /metrics.
class counters {
public:
    /// Add to a counter, creating it at zero.
    void add(std::string_view name, std::int64_t amount = 1);

    /// Set a gauge.
    void set(std::string_view name, std::int64_t value);

    /// Add a latency to the histogram with this name.
    void observe(std::string_view name, microseconds latency);

    /// @return the value of a counter or gauge; zero when it does not exist
    [[nodiscard]] std::int64_t value(std::string_view name) const;

    /// @return a line "verbenalever_NAME VALUE" for each counter and gauge, in order of name, then
    ///         the quantiles in seconds and the count of each histogram
    [[nodiscard]] std::string text() const;

private:
    std::map<std::string, std::int64_t, std::less<>> values;
    std::map<std::string, latency_histogram, std::less<>> latencies;
};

} // namespace verbenalever
