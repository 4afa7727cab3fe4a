#pragma once

#include "scheduling/placement_candidate.h"

#include <optional>
#include <span>

namespace verbenalever {

/// Chooses where one piece of work goes. Pure: no clock, no input or output.
class placement_policy {
public:
    virtual ~placement_policy() = default;

    /// @param candidates targets on which a start is allowed now
    /// @param demand     what the work takes
    /// @return the position in @p candidates, or nothing when none has room
    [[nodiscard]] virtual std::optional<std::size_t>
    choose(std::span<const placement_candidate> candidates, const resources& demand) = 0;
};

} // namespace verbenalever
