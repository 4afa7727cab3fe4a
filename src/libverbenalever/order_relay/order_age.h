#pragma once

#include "loop/clock.h"

#include <cstdint>

namespace verbenalever {

/// Tells how long messages of a coordinator have been on their way, without a common clock.
///
/// The least difference between the clocks that any message of one coordinator has shown counts as
/// no delay. Both clocks go on in a suspension, so that a pause of the receiver shows too.
class order_age {
public:
    /// @param token of the coordinator that sent the message; a newer one begins anew
    /// @param sent  by its clock
    /// @param now   by the clock here
    /// @return time beyond that of its fastest message
    [[nodiscard]] milliseconds age_of(std::int64_t token, milliseconds sent, milliseconds now)
    {
        const auto difference = now - sent;
        if (token != this->coordinator || difference < this->least) {
            this->coordinator = token;
            this->least = difference;
        }
        return difference - this->least;
    }

private:
    std::int64_t coordinator = 0;
    milliseconds least{0};
};

} // namespace verbenalever
