#include "targets/target_group.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>

namespace verbenalever {

std::uint32_t target_group_count(std::size_t targets)
{
    const auto groups_needed = (targets + targets_per_group - 1) / targets_per_group;
    return std::max(min_group_count, static_cast<std::uint32_t>(groups_needed));
}

std::uint32_t target_group(std::string_view name, std::uint32_t count)
{
    const auto hash = XXH3_64bits(name.data(), name.size());
    const std::uint64_t level = std::bit_ceil(count);
    const auto group = hash % level;
    return static_cast<std::uint32_t>(group < count ? group : group - level / 2);
}

} // namespace verbenalever
