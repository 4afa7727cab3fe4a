#pragma once

#include "scheduling/placement_candidate.h"

#include <absl/functional/function_ref.h>

#include <optional>

namespace verbenalever {

class placement_index;

/// Chooses where one piece of work goes. Pure: no clock, no input or output.
class placement_policy {
public:
    /// Says whether a start is allowed on a candidate, given by its position.
    using candidate_filter = absl::FunctionRef<bool(std::size_t position)>;

    virtual ~placement_policy() = default;

    /// @param index  the candidates and their free room
    /// @param demand what the work takes
    /// @param admits asked only about candidates with room, in the policy's order of preference
    /// @return the position in the index, or nothing when none has room and is admitted
    [[nodiscard]] virtual std::optional<std::size_t>
    choose(const placement_index& index, const resources& demand, candidate_filter admits) = 0;
};

} // namespace verbenalever
