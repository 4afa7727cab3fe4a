#pragma once

#include "scheduling/resources.h"

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

namespace verbenalever {

/// Read an upper limit from JSON; amounts that are not named are not limited.
/// @return INVALID_ARGUMENT unless @p json is an object with at least one of slots,
///         processors_milli, memory_mb and accelerators, and only with whole numbers from zero
[[nodiscard]] absl::StatusOr<resources> limit_from_json(const nlohmann::json& json);

/// @return the amounts of @p limit that are limited
[[nodiscard]] nlohmann::json limit_to_json(const resources& limit);

} // namespace verbenalever
