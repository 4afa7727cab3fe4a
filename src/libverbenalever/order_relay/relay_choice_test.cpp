#include "order_relay/relay_choice.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

namespace verbenalever {
namespace {

constexpr int targets = 300;

std::string target_name(int number)
{
    return "target-" + std::to_string(number);
}

/// Three strong VMs and ten weak ones in each of two zones.
relay_choice two_zones()
{
    relay_choice choice;
    for (const auto* zone : {"a", "b"}) {
        for (int number = 0; number < 3; ++number)
            choice.put(std::string(zone) + "-strong-" + std::to_string(number), zone, 0.5);
        for (int number = 0; number < 10; ++number)
            choice.put(std::string(zone) + "-weak-" + std::to_string(number), zone, 0.12);
    }
    return choice;
}

TEST(relay_choice, strong_vms_of_the_targets_zone_share_its_targets)
{
    auto choice = two_zones();
    std::map<std::string, int> load;
    for (int number = 0; number < targets; ++number) {
        const auto* vm = choice.choose(target_name(number), "a");
        ASSERT_NE(vm, nullptr);
        ++load[*vm];
    }
    ASSERT_EQ(load.size(), 3);
    for (const auto& [vm, count] : load) {
        EXPECT_TRUE(vm.starts_with("a-strong")) << vm;
        EXPECT_GT(count, targets / 6) << vm;
    }
}

TEST(relay_choice, a_vm_that_leaves_moves_its_own_targets_only)
{
    auto choice = two_zones();
    std::map<int, std::string> before;
    for (int number = 0; number < targets; ++number)
        before[number] = *choice.choose(target_name(number), "a");
    choice.remove("a-strong-1");
    for (int number = 0; number < targets; ++number) {
        const auto now = *choice.choose(target_name(number), "a");
        EXPECT_NE(now, "a-strong-1");
        if (before[number] != "a-strong-1") {
            EXPECT_EQ(now, before[number]);
        }
    }
}

TEST(relay_choice, a_zone_without_vms_is_served_from_another)
{
    auto choice = two_zones();
    const auto* vm = choice.choose("target", "c");
    ASSERT_NE(vm, nullptr);
    EXPECT_NE(vm->find("strong"), std::string::npos);
    EXPECT_EQ(relay_choice().choose("target", "c"), nullptr);
}

TEST(relay_choice, weak_vms_stand_in_when_a_zone_has_no_strong_ones)
{
    auto choice = two_zones();
    for (int number = 0; number < 3; ++number)
        choice.remove("a-strong-" + std::to_string(number));
    EXPECT_TRUE(choice.choose("target", "a")->starts_with("a-weak"));
}

} // namespace
} // namespace verbenalever
