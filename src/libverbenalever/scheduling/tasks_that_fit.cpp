#include "scheduling/tasks_that_fit.h"

#include <algorithm>
#include <array>

namespace verbenalever {

namespace {

constexpr std::array<std::int64_t resources::*, 4> resource_fields{
    &resources::slots, &resources::processors_milli, &resources::memory_mb,
    &resources::accelerators};

} // namespace

std::int64_t tasks_that_fit(const resources& free, const resources& demand, std::int64_t max_tasks)
{
    auto count = max_tasks;
    for (const auto field : resource_fields) {
        if (demand.*field > 0)
            count = std::min(count, free.*field / (demand.*field));
    }
    return std::max<std::int64_t>(count, 0);
}

} // namespace verbenalever
