#include "coordinator/run_length_model.h"

#include <algorithm>
#include <cmath>

namespace verbenalever {

namespace {

/// The weight of a run decreases by a factor of e over this many later runs.
constexpr double window_runs = 300;
/// The estimate is returned unchanged until this many runs have ended.
constexpr double min_runs = 10;
/// With a smaller variance of the logarithmic estimates no slope is fitted and the mean is
/// returned.
constexpr double min_variance = 1e-4;

double logarithm(milliseconds time)
{
    return std::log(static_cast<double>(std::max<std::int64_t>(1, time.count())));
}

} // namespace

void run_length_model::learn(milliseconds estimated, milliseconds actual)
{
    this->total_weight = this->total_weight * (1 - 1 / window_runs) + 1;
    const double new_run_weight = 1 / this->total_weight;
    const double estimate_deviation = logarithm(estimated) - this->mean_log_estimate;
    const double duration_deviation = logarithm(actual) - this->mean_log_duration;
    this->mean_log_estimate += new_run_weight * estimate_deviation;
    this->mean_log_duration += new_run_weight * duration_deviation;
    this->estimate_variance +=
        new_run_weight *
        (estimate_deviation * estimate_deviation * (1 - new_run_weight) - this->estimate_variance);
    this->covariance +=
        new_run_weight *
        (estimate_deviation * duration_deviation * (1 - new_run_weight) - this->covariance);
}

bool run_length_model::has_learned() const
{
    return this->total_weight >= min_runs;
}

milliseconds run_length_model::predict(milliseconds estimated) const
{
    if (!this->has_learned())
        return estimated;
    const double slope = this->estimate_variance < min_variance
                             ? 0
                             : std::clamp(this->covariance / this->estimate_variance, 0.0, 1.0);
    const double log_time =
        this->mean_log_duration + slope * (logarithm(estimated) - this->mean_log_estimate);
    return milliseconds(static_cast<std::int64_t>(std::exp(log_time)));
}

} // namespace verbenalever
