#pragma once

#include "loop/clock.h"

#include <optional>

namespace verbenalever {

/// Moving averages of response times and of their deviation, as TCP estimates round-trip times.
class response_time_estimator {
public:
    void add(microseconds sample);

    /// @return a time within which nearly all answers arrive; zero before the first sample
    [[nodiscard]] microseconds high_estimate() const;

    /// @return a time after which an answer is unlikely to arrive; nothing before enough samples
    [[nodiscard]] std::optional<microseconds> timeout() const;

private:
    int samples = 0;
    double mean_us = 0;
    double deviation_us = 0;
};

} // namespace verbenalever
