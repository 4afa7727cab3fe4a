#include "coordination/vm_fitness.h"

#include <gtest/gtest.h>

#include <array>

namespace verbenalever {
namespace {

constexpr vm_fitness strong{.processor_share = 0.5, .link_mbps = 200};
constexpr vm_fitness narrow{.processor_share = 0.3, .link_mbps = 10};
constexpr vm_fitness small{.processor_share = 0.09, .link_mbps = 10};

// A VM with exactly 0.6 times the share of the strongest one used to count as strong: it kept
// coordinating although its link did not carry a page of stored records.
TEST(vm_fitness_test, share_at_the_limit_is_weak)
{
    EXPECT_TRUE(narrow.is_weak_beside(strong));
    EXPECT_FALSE(strong.is_weak_beside(narrow));
    EXPECT_TRUE((vm_fitness{.processor_share = 0.3}).is_weak_beside({.processor_share = 0.5}));
}

TEST(vm_fitness_test, slow_link_alone_is_weak_and_an_unknown_one_is_not)
{
    EXPECT_TRUE((vm_fitness{0.5, 10}).is_weak_beside(strong));
    EXPECT_FALSE((vm_fitness{0.5, 0}).is_weak_beside(strong));
    EXPECT_FALSE((vm_fitness{0.5, 10}).is_weak_beside({0.5, 0}));
}

TEST(vm_fitness_test, weakness_grows_as_the_share_shrinks)
{
    EXPECT_EQ(strong.weakness_beside(strong), 0);
    EXPECT_EQ(narrow.weakness_beside(strong), 1);
    EXPECT_GT(small.weakness_beside(strong), narrow.weakness_beside(strong));
    EXPECT_LE((vm_fitness{0.001, 1}).weakness_beside(strong), vm_fitness::max_weakness);
}

// Guards against two VMs that hand coordination to each other in turn.
TEST(vm_fitness_test, no_two_vms_are_weak_beside_each_other)
{
    const std::array<vm_fitness, 7> all{strong,      narrow,    small, {0.5, 10},
                                        {0.3, 1000}, {0.12, 0}, {1, 2}};
    for (const auto& left : all) {
        for (const auto& right : all) {
            EXPECT_FALSE(left.is_weak_beside(right) && right.is_weak_beside(left));
            EXPECT_EQ(fitter(left, right), fitter(right, left));
        }
    }
}

} // namespace
} // namespace verbenalever
