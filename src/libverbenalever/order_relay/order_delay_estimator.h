#pragma once

#include "loop/clock.h"

#include <cstdint>

namespace verbenalever {

/// Estimates the transfer delay of a coordinator's messages without synchronized clocks.
///
/// The message of a coordinator with the smallest difference between receive time and send time
/// counts as not delayed. Both clocks keep running while a process or VM is suspended, so that a
/// pause of the receiver adds to the delay.
class order_delay_estimator {
public:
    /// @param term  of the coordinator that sent the message; a different term resets the estimate
    /// @param sent  send time by the coordinator's clock
    /// @param now   receive time by the local clock
    /// @return the delay in excess of that of the coordinator's fastest message
    [[nodiscard]] milliseconds delay_of(std::int64_t term, milliseconds sent, milliseconds now)
    {
        const auto difference = now - sent;
        if (term != this->current_term || difference < this->min_clock_difference) {
            this->current_term = term;
            this->min_clock_difference = difference;
        }
        return difference - this->min_clock_difference;
    }

private:
    std::int64_t current_term = 0;
    milliseconds min_clock_difference{0};
};

} // namespace verbenalever
