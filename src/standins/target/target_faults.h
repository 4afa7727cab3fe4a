#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>

namespace standins {

/// Faults of a target, switched on by PUT /control/faults.
struct target_faults {
    bool fail_everything = false; ///< requests and tasks fail as soon as they start
    bool hang = false;            ///< nothing is answered
    std::int64_t delay_ms = 0;    ///< added to every answer of a request
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(target_faults, fail_everything, hang, delay_ms)

} // namespace standins
