#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace standins {

/// Faults that the stand-in for the platform injects, set by PUT /control/faults.
struct platform_faults {
    std::string down;              ///< "": up; "refuse": 503 at once; "hang": no response
    std::int64_t delay_ms = 0;     ///< added to every response
    std::int64_t lose_replies = 0; ///< this many of the next writes get no response
    bool stale_reads = false;      ///< reads return the state from when this was set
    std::int64_t vm_lag_ms = 0;    ///< delay until a change of the VM list is visible
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(platform_faults, down, delay_ms, lose_replies,
                                                stale_reads, vm_lag_ms)

} // namespace standins
