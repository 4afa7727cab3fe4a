#include "scheduling/task_count.h"

#include <algorithm>
#include <array>

namespace verbenalever {

namespace {

constexpr std::array<std::int64_t resources::*, 4> amounts{
    &resources::slots, &resources::processors_milli, &resources::memory_mb,
    &resources::accelerators};

} // namespace

std::int64_t task_count(const resources& room, const resources& demand, std::int64_t most)
{
    auto count = most;
    for (const auto amount : amounts) {
        if (demand.*amount > 0)
            count = std::min(count, room.*amount / (demand.*amount));
    }
    return std::max<std::int64_t>(count, 0);
}

} // namespace verbenalever
