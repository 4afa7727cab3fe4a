#include "requests/response_time_estimator.h"

#include <algorithm>
#include <cmath>

namespace verbenalever {

namespace {

constexpr double mean_gain = 1.0 / 8;
constexpr double deviation_gain = 1.0 / 4;
constexpr double deviations_in_high_estimate = 4;
constexpr double deviations_in_timeout = 8;
constexpr int min_samples = 20;
constexpr microseconds min_timeout{100'000};

} // namespace

void response_time_estimator::add(microseconds sample)
{
    const auto value = static_cast<double>(sample.count());
    if (this->samples++ == 0) {
        this->mean_us = value;
        this->deviation_us = value / 2;
        return;
    }
    const auto error = value - this->mean_us;
    this->deviation_us += deviation_gain * (std::abs(error) - this->deviation_us);
    this->mean_us += mean_gain * error;
}

microseconds response_time_estimator::high_estimate() const
{
    const auto bound = this->mean_us + deviations_in_high_estimate * this->deviation_us;
    return microseconds(static_cast<std::int64_t>(bound));
}

std::optional<microseconds> response_time_estimator::timeout() const
{
    if (this->samples < min_samples)
        return std::nullopt;
    const auto bound = 2 * this->mean_us + deviations_in_timeout * this->deviation_us;
    return std::max(min_timeout, microseconds(static_cast<std::int64_t>(bound)));
}

} // namespace verbenalever
