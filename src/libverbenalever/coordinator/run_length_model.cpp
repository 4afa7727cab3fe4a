#include "coordinator/run_length_model.h"

#include <algorithm>
#include <cmath>

namespace verbenalever {

namespace {

/// Runs that count: the experience fades to a third over as many.
constexpr double memory_runs = 300;
/// Runs before which estimates are taken at their word.
constexpr double least_runs = 10;
/// Spread of the logarithms of estimates below which nothing is learned of how far they hold.
constexpr double least_variance = 1e-4;

double logarithm(milliseconds time)
{
    return std::log(static_cast<double>(std::max<std::int64_t>(1, time.count())));
}

} // namespace

void run_length_model::learn(milliseconds estimated, milliseconds took)
{
    this->weight = this->weight * (1 - 1 / memory_runs) + 1;
    const double part = 1 / this->weight;
    const double off_x = logarithm(estimated) - this->mean_x;
    const double off_y = logarithm(took) - this->mean_y;
    this->mean_x += part * off_x;
    this->mean_y += part * off_y;
    this->variance_x += part * (off_x * off_x * (1 - part) - this->variance_x);
    this->covariance += part * (off_x * off_y * (1 - part) - this->covariance);
}

milliseconds run_length_model::predict(milliseconds estimated) const
{
    if (this->weight < least_runs)
        return estimated;
    const double slope = this->variance_x < least_variance
                             ? 0
                             : std::clamp(this->covariance / this->variance_x, 0.0, 1.0);
    const double log_time = this->mean_y + slope * (logarithm(estimated) - this->mean_x);
    return milliseconds(static_cast<std::int64_t>(std::exp(log_time)));
}

} // namespace verbenalever
