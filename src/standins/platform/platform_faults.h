#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace standins {

/// Faults of the platform, switched on by PUT /faults.
struct platform_faults {
    std::string down;              ///< "" for up, "refuse" (503 at once) or "hang" (no answer)
    std::int64_t delay_ms = 0;     ///< added to every answer
    std::int64_t lose_replies = 0; ///< this many next writes take effect with no answer
    bool stale_reads = false;      ///< reads show the state at the time this was switched on
    std::int64_t vm_lag_ms = 0;    ///< lag of the VM list
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(platform_faults, down, delay_ms, lose_replies,
                                                stale_reads, vm_lag_ms)

} // namespace standins
