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

/// The targets that a placement decision chooses from, kept in order of free room.
///
/// Room is compared as one number: the sum over the resources of the free part of the largest
/// target's. It grows with each resource, so a target whose number is below that of a demand cannot
/// hold it, and a full fleet is seen at the first look.
class placement_index {
public:
    /// Targets by free room, least first; the position is that of candidates().
    using free_capacity_order = std::set<std::pair<double, std::size_t>>;

    /// Replace all candidates.
    void assign(std::vector<placement_candidate> candidates);

    /// Set what is free on one candidate.
    void set_free(std::size_t position, const resources& free);

    [[nodiscard]] std::span<const placement_candidate> candidates() const;

    /// @return all candidates in order of free room
    [[nodiscard]] const free_capacity_order& by_free_capacity() const;

    /// @return the free room of amounts as one number
    [[nodiscard]] double normalized_sum(const resources& amounts) const;

    /// @return whether some candidate has room for @p demand
    [[nodiscard]] bool has_capacity(const resources& demand) const;

private:
    std::vector<placement_candidate> all_candidates;
    std::vector<double> free_sums;
    free_capacity_order order;
    resources largest_capacity;
};

} // namespace verbenalever
