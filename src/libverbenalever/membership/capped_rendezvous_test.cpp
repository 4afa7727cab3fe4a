#include "membership/capped_rendezvous.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <numeric>

namespace verbenalever {

namespace {

std::vector<std::uint32_t> numbered_groups(std::size_t count)
{
    std::vector<std::uint32_t> groups(count);
    std::iota(groups.begin(), groups.end(), 0U);
    return groups;
}

std::vector<std::string> numbered_nodes(std::size_t count)
{
    std::vector<std::string> nodes;
    for (std::size_t i = 0; i < count; ++i)
        nodes.push_back(fmt::format("entry-{}", i));
    return nodes;
}

} // namespace

TEST(capped_rendezvous, returns_nothing_without_nodes)
{
    EXPECT_TRUE(capped_rendezvous(numbered_groups(3), {}).empty());
}

RC_GTEST_PROP(capped_rendezvous, assigns_every_group_within_the_cap, ())
{
    const auto groups = numbered_groups(*rc::gen::inRange<std::size_t>(0, 200));
    const auto nodes = numbered_nodes(*rc::gen::inRange<std::size_t>(1, 12));
    std::vector<std::size_t> load(nodes.size(), 0);
    for (const auto owner : capped_rendezvous(groups, nodes)) {
        RC_ASSERT(owner < nodes.size());
        ++load[owner];
    }
    const auto cap = (groups.size() + nodes.size() - 1) / nodes.size();
    RC_ASSERT(*std::max_element(load.begin(), load.end()) <= cap);
}

RC_GTEST_PROP(capped_rendezvous, does_not_depend_on_order, ())
{
    const auto groups = numbered_groups(*rc::gen::inRange<std::size_t>(1, 60));
    const auto nodes = numbered_nodes(*rc::gen::inRange<std::size_t>(1, 8));
    auto reversed = nodes;
    std::reverse(reversed.begin(), reversed.end());
    const auto owners = capped_rendezvous(groups, nodes);
    const auto again = capped_rendezvous(groups, reversed);
    for (std::size_t i = 0; i < groups.size(); ++i)
        RC_ASSERT(nodes[owners[i]] == reversed[again[i]]);
}

TEST(capped_rendezvous, moves_few_other_groups_when_a_node_leaves)
{
    const auto groups = numbered_groups(75);
    const auto nodes = numbered_nodes(6);
    const auto before = capped_rendezvous(groups, nodes);
    const auto fewer = std::span(nodes).first(nodes.size() - 1);
    const auto after = capped_rendezvous(groups, fewer);
    std::size_t moved = 0;
    for (std::size_t i = 0; i < groups.size(); ++i)
        moved += static_cast<std::size_t>(before[i] != after[i]);
    const auto cap = (groups.size() + nodes.size() - 1) / nodes.size();
    EXPECT_LE(moved, 2 * cap);
}

} // namespace verbenalever
