#pragma once

#include "loop/clock.h"

namespace verbenalever {

/// Predicts from its caller's estimate how long a run of one queue takes.
///
/// Callers' estimates are often several times too long or too short, so the logarithm of the
/// duration is fitted to the logarithm of the estimate by least squares over the runs that have
/// ended, with exponentially decreasing weights of older runs. Accurate estimates are returned
/// almost unchanged; for estimates without correlation the prediction is the mean.
class run_length_model {
public:
    /// Adds a run that has ended successfully.
    void learn(milliseconds estimated, milliseconds actual);

    /// @return expected duration of a run with this estimate; the estimate itself until enough runs
    /// have ended
    [[nodiscard]] milliseconds predict(milliseconds estimated) const;

    /// @return whether enough runs have ended for a prediction of its own
    [[nodiscard]] bool has_learned() const;

private:
    double total_weight = 0;      ///< of the runs in the means below
    double mean_log_estimate = 0; ///< mean logarithm of the estimate in milliseconds
    double mean_log_duration = 0; ///< mean logarithm of the duration in milliseconds
    double estimate_variance = 0;
    double covariance = 0;
};

} // namespace verbenalever
