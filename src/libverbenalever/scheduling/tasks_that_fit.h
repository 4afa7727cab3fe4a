#pragma once

#include "scheduling/resources.h"

#include <cstdint>

namespace verbenalever {

/// @return the number of tasks of @p demand that fit into @p free together, at most @p max_tasks
[[nodiscard]] std::int64_t tasks_that_fit(const resources& free, const resources& demand,
                                          std::int64_t max_tasks);

} // namespace verbenalever
