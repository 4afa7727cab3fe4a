#pragma once

#include "scheduling/placement_candidate.h"

#include <absl/functional/function_ref.h>

#include <optional>

namespace verbenalever {

class placement_index;

/// Chooses the target for one piece of work. Reads no clock and does no input or output.
class placement_policy {
public:
    /// Decides whether a start is allowed on the candidate at a position.
    using candidate_filter = absl::FunctionRef<bool(std::size_t position)>;

    virtual ~placement_policy() = default;

    /// @param index  the candidates and their free capacity
    /// @param demand of the work
    /// @param admits called only for candidates that fit the demand, in the policy's order of
    ///               preference
    /// @return the position of the chosen candidate in the index, or nothing when no candidate
    ///         fits and is admitted
    [[nodiscard]] virtual std::optional<std::size_t>
    choose(const placement_index& index, const resources& demand, candidate_filter admits) = 0;
};

} // namespace verbenalever
