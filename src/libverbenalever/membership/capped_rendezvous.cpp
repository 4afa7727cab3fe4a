#include "membership/capped_rendezvous.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>

namespace verbenalever {

namespace {

/// A possible assignment of a group to a node.
struct candidate {
    std::uint64_t weight = 0;
    std::size_t group = 0;
    std::size_t node = 0;
};

std::uint64_t weight(std::uint32_t group, const std::string& node)
{
    const auto seed = XXH3_64bits(node.data(), node.size());
    return XXH3_64bits_withSeed(&group, sizeof group, seed);
}

std::vector<candidate> heaviest_first(std::span<const std::uint32_t> groups,
                                      std::span<const std::string> nodes)
{
    std::vector<candidate> all;
    all.reserve(groups.size() * nodes.size());
    for (std::size_t group = 0; group < groups.size(); ++group) {
        for (std::size_t node = 0; node < nodes.size(); ++node)
            all.push_back({weight(groups[group], nodes[node]), group, node});
    }
    std::sort(all.begin(), all.end(), [&](const candidate& left, const candidate& right) {
        return std::tie(right.weight, groups[left.group], nodes[left.node]) <
               std::tie(left.weight, groups[right.group], nodes[right.node]);
    });
    return all;
}

} // namespace

std::vector<std::size_t> capped_rendezvous(std::span<const std::uint32_t> groups,
                                           std::span<const std::string> nodes)
{
    if (nodes.empty())
        return {};
    const auto cap = (groups.size() + nodes.size() - 1) / nodes.size();
    const auto unassigned = nodes.size();
    std::vector<std::size_t> owners(groups.size(), unassigned);
    std::vector<std::size_t> load(nodes.size(), 0);
    for (const auto& next : heaviest_first(groups, nodes)) {
        if (owners[next.group] != unassigned || load[next.node] == cap)
            continue;
        owners[next.group] = next.node;
        ++load[next.node];
    }
    return owners;
}

} // namespace verbenalever
