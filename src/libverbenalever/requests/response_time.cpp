#include "requests/response_time.h"

#include <algorithm>
#include <cmath>

namespace verbenalever {

namespace {

constexpr double mean_gain = 1.0 / 8;
constexpr double deviation_gain = 1.0 / 4;
constexpr double deviations_to_nearly_all = 4;
constexpr double deviations_to_timeout = 8;
constexpr int samples_needed = 20;
constexpr microseconds shortest_timeout{100'000};

} // namespace

void response_time::add(microseconds sample)
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

microseconds response_time::nearly_all() const
{
    const auto bound = this->mean_us + deviations_to_nearly_all * this->deviation_us;
    return microseconds(static_cast<std::int64_t>(bound));
}

std::optional<microseconds> response_time::timeout() const
{
    if (this->samples < samples_needed)
        return std::nullopt;
    const auto bound = 2 * this->mean_us + deviations_to_timeout * this->deviation_us;
    return std::max(shortest_timeout, microseconds(static_cast<std::int64_t>(bound)));
}

} // namespace verbenalever
