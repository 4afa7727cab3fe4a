#pragma once

#include "loop/clock.h"

#include <optional>

namespace verbenalever {

/// Smoothed response time of targets and its deviation, as TCP estimates a round trip.
class response_time_estimator {
public:
    void add(microseconds sample);

    /// @return a time within which nearly all answers come; zero before the first sample
    [[nodiscard]] microseconds high_estimate() const;

    /// @return a time past which an answer is unlikely to come; nothing before enough samples
    [[nodiscard]] std::optional<microseconds> timeout() const;

private:
    int samples = 0;
    double mean_us = 0;
    double deviation_us = 0;
};

} // namespace verbenalever
