#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace verbenalever {

/// Targets for each group on average, once a zone has more than a few.
inline constexpr std::size_t targets_per_group = 4;

/// Groups that even the smallest zone has, so that its entries get equal parts.
inline constexpr std::uint32_t min_group_count = 16;

/// @return the number of groups into which a zone with this many targets is divided
[[nodiscard]] std::uint32_t target_group_count(std::size_t targets);

/// The group of one target: linear hashing, so that one more group only splits one other group.
/// @param count the zone's number of groups, above zero
[[nodiscard]] std::uint32_t target_group(std::string_view name, std::uint32_t count);

} // namespace verbenalever
