#pragma once

#include "scheduling/resources.h"

namespace verbenalever {

/// A limit of at least this amount means that the resource is not limited.
inline constexpr std::int64_t unlimited_amount = 1'000'000'000;

/// @return the minimum of each component
[[nodiscard]] resources componentwise_min(const resources& left, const resources& right);

/// @return the maximum of each component
[[nodiscard]] resources componentwise_max(const resources& left, const resources& right);

/// @return each component of @p whole divided by @p parts, rounded down
[[nodiscard]] resources divide(const resources& whole, std::int64_t parts);

/// @return @p amount scaled by limit / total in each resource whose total is above the limit,
///         rounded down; amounts scaled this way sum to at most the limit
[[nodiscard]] resources scale_to_limit(const resources& amount, const resources& total,
                                       const resources& limit);

/// @return @p amount with every resource that @p limit leaves unlimited set to a value above any
///         possible use
[[nodiscard]] resources lift_unlimited(resources amount, const resources& limit);

/// @return @p amount with every resource that @p limit leaves unlimited set to zero, so that it
///         is left out of allotments
[[nodiscard]] resources drop_unlimited(resources amount, const resources& limit);

} // namespace verbenalever
