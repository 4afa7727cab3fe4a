#pragma once

#include "scheduling/resources.h"

namespace verbenalever {

/// An amount at which a resource counts as not limited.
inline constexpr std::int64_t unlimited_amount = 1'000'000'000;

/// @return the smaller of each amount
[[nodiscard]] resources least_of(const resources& left, const resources& right);

/// @return the greater of each amount
[[nodiscard]] resources greatest_of(const resources& left, const resources& right);

/// @return @p whole / @p parts, rounded down
[[nodiscard]] resources divide(const resources& whole, std::int64_t parts);

/// @return @p amount scaled by limit / total in each resource whose total is above the limit,
///         rounded down; so that parts scaled this way sum to at most the limit
[[nodiscard]] resources scale_down(const resources& amount, const resources& total,
                                   const resources& limit);

/// @return @p amount with every resource that @p limit leaves unlimited set to a value that no use
///         can reach
[[nodiscard]] resources open_unlimited(resources amount, const resources& limit);

/// @return @p amount with every resource that @p limit leaves unlimited set to zero, so that
///         allotments do not count it
[[nodiscard]] resources only_limited(resources amount, const resources& limit);

} // namespace verbenalever
