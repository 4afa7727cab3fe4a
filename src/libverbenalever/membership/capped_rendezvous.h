#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <vector>

namespace verbenalever {

/// Rendezvous (highest random weight) hashing with a cap: no node gets more than ceil(groups /
/// nodes) groups, and adding or removing a node moves few groups besides its own.
///
/// The result depends only on the two sets, not on their order, so that nodes that know the same
/// sets compute the same result without communication.
/// @param groups distinct groups to assign
/// @param nodes  distinct names of the nodes to assign them to
/// @return the index of the node of each group; empty when there are no nodes
[[nodiscard]] std::vector<std::size_t> capped_rendezvous(std::span<const std::uint32_t> groups,
                                                         std::span<const std::string> nodes);

} // namespace verbenalever
