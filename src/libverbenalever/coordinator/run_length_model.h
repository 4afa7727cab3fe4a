#pragma once

#include "loop/clock.h"

namespace verbenalever {

/// How long runs of one queue take, given what their callers estimate.
///
/// Callers' estimates are off by factors, so the logarithm of the time is fitted to the logarithm
/// of the estimate by least squares, over runs that have ended, the latest ones counting most. Good
/// estimates are taken at their word, and of bad ones little is left but the mean.
class run_length_model {
public:
    /// A run has ended well.
    void learn(milliseconds estimated, milliseconds actual);

    /// @return how long a run of this estimate will take; the estimate until there is experience
    [[nodiscard]] milliseconds predict(milliseconds estimated) const;

private:
    double total_weight = 0;      ///< of all runs below
    double mean_log_estimate = 0; ///< logarithm of the estimate in milliseconds
    double mean_log_duration = 0; ///< logarithm of the time in milliseconds
    double estimate_variance = 0;
    double covariance = 0;
};

} // namespace verbenalever
