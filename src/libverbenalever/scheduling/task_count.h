#pragma once

#include "scheduling/resources.h"

#include <cstdint>

namespace verbenalever {

/// @return how many tasks of @p demand fit into @p room at once, at most @p most
[[nodiscard]] std::int64_t task_count(const resources& room, const resources& demand,
                                      std::int64_t most);

} // namespace verbenalever
