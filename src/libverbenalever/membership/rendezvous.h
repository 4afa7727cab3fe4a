#pragma once

#include <span>
#include <string>
#include <string_view>

namespace verbenalever {

/// Rendezvous (highest random weight) hashing: each key has one owner among the nodes, and adding
/// or removing a node moves only the keys of that node.
/// @return the owner of @p key; empty when there are no nodes
[[nodiscard]] std::string_view rendezvous_owner(std::string_view key,
                                                std::span<const std::string> nodes);

} // namespace verbenalever
