#include "jobs/fleet_view.h"

#include <gtest/gtest.h>

namespace verbenalever {
namespace {

vm_record target(const char* name, std::int64_t slots)
{
    return {.name = name, .availability_zone = "zone-a", .capacity = {.slots = slots}};
}

TEST(FleetView, ChecksDemandsAgainstTheIdleFleet)
{
    const std::vector<vm_record> vms{target("one", 4), target("two", 3)};
    fleet_view fleet;
    fleet.apply_vm_list(vms);
    EXPECT_TRUE(fleet.fits_idle_fleet({.slots = 2}, 3, true).ok());
    EXPECT_FALSE(fleet.fits_idle_fleet({.slots = 2}, 4, true).ok());
    EXPECT_TRUE(fleet.fits_idle_fleet({.slots = 2}, 4, false).ok());
    EXPECT_FALSE(fleet.fits_idle_fleet({.slots = 5}, 1, false).ok());
    EXPECT_FALSE(fleet.fits_idle_fleet({.accelerators = 1}, 1, false).ok());
}

TEST(FleetView, KeepsZoneAndRemovalTimeOfUnlistedTargets)
{
    const std::vector<vm_record> before{target("one", 4), target("two", 3)};
    fleet_view fleet;
    fleet.apply_vm_list(before);
    EXPECT_EQ(fleet.left_list_at("one"), monotonic_time::max());
    fleet.apply_vm_list(std::span(before).subspan(1));
    EXPECT_LE(fleet.left_list_at("one"), monotonic_clock::now());
    EXPECT_EQ(fleet.zone_of("one"), "zone-a");
    EXPECT_FALSE(fleet.fits_idle_fleet({.slots = 4}, 1, false).ok());
}

} // namespace
} // namespace verbenalever
