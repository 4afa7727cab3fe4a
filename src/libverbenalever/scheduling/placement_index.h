#pragma once

#include "scheduling/placement_candidate.h"

#include <cstddef>
#include <map>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace verbenalever {

/// The targets that a placement policy chooses from, in order of free capacity.
///
/// Amounts are compared by their normalized sum: each resource is divided by the largest capacity
/// that any target has of it, and the quotients are added. The sum increases with each resource, so
/// a target whose free sum is below that of a demand cannot fit the demand. On a full fleet the
/// first comparison is therefore enough.
class placement_index {
public:
    /// Normalized sum of the free amounts and position in candidates(), least free first.
    using free_capacity_order = std::set<std::pair<double, std::size_t>>;

    /// Replace all candidates.
    void assign(std::vector<placement_candidate> candidates);

    /// Set the free amounts of one candidate.
    /// @param position in candidates()
    void set_free(std::size_t position, const resources& free);

    [[nodiscard]] std::span<const placement_candidate> candidates() const;

    /// @return all candidates in order of free capacity, least first
    [[nodiscard]] const free_capacity_order& by_free_capacity() const;

    /// @return the sum of the amounts, each relative to the largest capacity of any candidate
    [[nodiscard]] double normalized_sum(const resources& amounts) const;

    /// @return whether @p demand fits some candidate
    [[nodiscard]] bool has_capacity(const resources& demand) const;

private:
    std::vector<placement_candidate> all_candidates;
    std::vector<double> free_sums; ///< normalized, by position
    free_capacity_order order;
    resources largest_capacity; ///< of each resource separately
};

} // namespace verbenalever
