#include "targets/target_group.h"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace verbenalever {

RC_GTEST_PROP(target_group, index_is_below_the_count, ())
{
    const auto name = *rc::gen::arbitrary<std::string>();
    const auto count = *rc::gen::inRange<std::uint32_t>(1, 2000);
    RC_ASSERT(target_group(name, count) < count);
}

RC_GTEST_PROP(target_group, adding_a_group_splits_only_one_other, ())
{
    const auto count = *rc::gen::inRange<std::uint32_t>(1, 500);
    std::set<std::uint32_t> split;
    for (int i = 0; i < 500; ++i) {
        const auto name = fmt::format("target-{}", i);
        const auto before = target_group(name, count);
        const auto after = target_group(name, count + 1);
        if (before == after)
            continue;
        RC_ASSERT(after == count);
        split.insert(before);
    }
    RC_ASSERT(split.size() <= 1U);
}

TEST(target_group, group_count_grows_with_the_zone)
{
    EXPECT_EQ(target_group_count(0), min_group_count);
    EXPECT_EQ(target_group_count(17), min_group_count);
    EXPECT_EQ(target_group_count(300), 75U);
}

} // namespace verbenalever
