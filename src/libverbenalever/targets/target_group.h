#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace verbenalever {

/// Average number of targets in a group, in zones with more than the minimum of groups.
inline constexpr std::size_t targets_per_group = 4;

/// Least number of groups in a zone, so that a small zone's entry daemons get about equal shares.
inline constexpr std::uint32_t min_group_count = 16;

/// @return the number of groups into which a zone with this many targets is divided
[[nodiscard]] std::uint32_t target_group_count(std::size_t targets);

/// @return the index of a target's group, by linear hashing: adding one group moves targets out of
///         one other group only
/// @param count the zone's number of groups, above zero
[[nodiscard]] std::uint32_t target_group(std::string_view name, std::uint32_t count);

} // namespace verbenalever
