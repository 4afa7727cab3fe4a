#pragma once

#include "scheduling/resources.h"

#include <cstdint>

namespace verbenalever {

/// @return how many tasks of @p demand fit into @p room at once, at most @p most
[[nodiscard]] std::int64_t tasks_that_fit(const resources& free, const resources& demand,
                                          std::int64_t max_tasks);

} // namespace verbenalever
