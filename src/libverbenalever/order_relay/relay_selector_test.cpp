#include "order_relay/relay_selector.h"

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

/// Three VMs with large and ten with small processor shares in each of two zones.
relay_selector selector_with_two_zones()
{
    relay_selector selector;
    for (const auto* zone : {"a", "b"}) {
        for (int number = 0; number < 3; ++number)
            selector.update(std::string(zone) + "-strong-" + std::to_string(number), zone, 0.5);
        for (int number = 0; number < 10; ++number)
            selector.update(std::string(zone) + "-weak-" + std::to_string(number), zone, 0.12);
    }
    return selector;
}

TEST(relay_selector, large_vms_of_the_targets_zone_share_its_targets)
{
    auto selector = selector_with_two_zones();
    std::map<std::string, int> load;
    for (int number = 0; number < targets; ++number) {
        const auto* vm = selector.choose(target_name(number), "a");
        ASSERT_NE(vm, nullptr);
        ++load[*vm];
    }
    ASSERT_EQ(load.size(), 3);
    for (const auto& [vm, count] : load) {
        EXPECT_TRUE(vm.starts_with("a-strong")) << vm;
        EXPECT_GT(count, targets / 6) << vm;
    }
}

TEST(relay_selector, removed_vm_moves_only_its_own_targets)
{
    auto selector = selector_with_two_zones();
    std::map<int, std::string> before;
    for (int number = 0; number < targets; ++number)
        before[number] = *selector.choose(target_name(number), "a");
    selector.remove("a-strong-1");
    for (int number = 0; number < targets; ++number) {
        const auto now = *selector.choose(target_name(number), "a");
        EXPECT_NE(now, "a-strong-1");
        if (before[number] != "a-strong-1") {
            EXPECT_EQ(now, before[number]);
        }
    }
}

TEST(relay_selector, zone_without_vms_uses_vms_of_another_zone)
{
    auto selector = selector_with_two_zones();
    const auto* vm = selector.choose("target", "c");
    ASSERT_NE(vm, nullptr);
    EXPECT_NE(vm->find("strong"), std::string::npos);
    EXPECT_EQ(relay_selector().choose("target", "c"), nullptr);
}

TEST(relay_selector, small_vms_are_used_when_a_zone_has_no_large_ones)
{
    auto selector = selector_with_two_zones();
    for (int number = 0; number < 3; ++number)
        selector.remove("a-strong-" + std::to_string(number));
    EXPECT_TRUE(selector.choose("target", "a")->starts_with("a-weak"));
}

} // namespace
} // namespace verbenalever
