#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>

namespace standins {

/// Faults that the stand-in for a target injects, set by PUT /control/faults.
struct target_faults {
    bool fail_everything = false; ///< tasks fail at once, requests when their time is over
    bool hang = false;            ///< no request gets a response
    std::int64_t delay_ms = 0;    ///< added to the duration of every request
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(target_faults, fail_everything, hang, delay_ms)

} // namespace standins
