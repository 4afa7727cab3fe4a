#include "jobs/fleet_view.h"

#include <gtest/gtest.h>

namespace verbenalever {
namespace {

vm_record target(const char* name, std::int64_t slots)
{
    return {.name = name, .availability_zone = "zone-a", .capacity = {.slots = slots}};
}

TEST(FleetView, SaysWhatCouldRun)
{
    const std::vector<vm_record> vms{target("one", 4), target("two", 3)};
    fleet_view fleet;
    fleet.update(vms);
    EXPECT_TRUE(fleet.could_run({.slots = 2}, 3, true).ok());
    EXPECT_FALSE(fleet.could_run({.slots = 2}, 4, true).ok());
    EXPECT_TRUE(fleet.could_run({.slots = 2}, 4, false).ok());
    EXPECT_FALSE(fleet.could_run({.slots = 5}, 1, false).ok());
    EXPECT_FALSE(fleet.could_run({.accelerators = 1}, 1, false).ok());
}

TEST(FleetView, RemembersTargetsThatLeftTheList)
{
    const std::vector<vm_record> before{target("one", 4), target("two", 3)};
    fleet_view fleet;
    fleet.update(before);
    EXPECT_EQ(fleet.gone_since("one"), monotonic_time::max());
    fleet.update(std::span(before).subspan(1));
    EXPECT_LE(fleet.gone_since("one"), monotonic_clock::now());
    EXPECT_EQ(fleet.zone_of("one"), "zone-a");
    EXPECT_FALSE(fleet.could_run({.slots = 4}, 1, false).ok());
}

} // namespace
} // namespace verbenalever
