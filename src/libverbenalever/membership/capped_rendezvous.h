#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace verbenalever {

/// Rendezvous (highest random weight) hashing with a cap: no node gets more than
/// ceil(groups / nodes) groups, and a node that comes or goes moves few groups besides its own.
///
/// The result depends only on the two sets, not on their order, so that nodes with the same view
/// agree without talking to each other.
/// @param groups distinct groups to divide
/// @param nodes  distinct names to divide them among
/// @return for each group the index of its node; empty when there are no nodes
[[nodiscard]] std::vector<std::size_t> capped_rendezvous(std::span<const std::uint32_t> groups,
                                                         std::span<const std::string> nodes);

} // namespace verbenalever
