// What the coordinator's work costs as the fleet grows, with in-memory targets and in real time.

#include "testing/loaded_fleet.h"

#include <gtest/gtest.h>

#include <cmath>
#include <cstdio>

namespace verbenalever {
namespace {

/// The same submissions to fleets of any size, most of whose capacity stays free.
const std::vector<loaded_fleet::caller_class> moderate_load{
    {"quote", 52, 3, 9000, false, 0.7},
    {"tension", 1.6, 20, 18'000, true, 0.3},
    {"dispatch", 6.4, 25, 6300, false, 0.45},
};

/// @return processor time that @p span of the load costs on a fleet of this many targets
milliseconds cost_of_load(int targets, milliseconds span)
{
    loaded_fleet fleet({.targets = targets, .processors_milli = 64'000, .advisor_vms = 30});
    constexpr milliseconds warm_up{1500};
    fleet.load(moderate_load, 1, warm_up);
    const auto before = loaded_fleet::processor_time();
    const auto starts = fleet.targets.start_count;
    fleet.load(moderate_load, 1, span);
    const auto cost = loaded_fleet::processor_time() - before;
    std::printf("%d targets: %ld ms for %d starts\n", targets, static_cast<long>(cost.count()),
                fleet.targets.start_count - starts);
    EXPECT_GT(fleet.targets.start_count - starts, 500);
    EXPECT_TRUE(fleet.targets.violations.empty()) << fleet.targets.violations.front();
    return cost;
}

// Load pattern: the same work on a fleet ten times as large. The aim is a cost that grows with the
// fleet to a power below 0.3.
TEST(coordinator_growth_test, cost_of_a_moderate_load_hardly_grows_with_the_fleet)
{
    constexpr milliseconds span{3000};
    const auto small = cost_of_load(300, span);
    const auto large = cost_of_load(3000, span);
    const double power = std::log10(static_cast<double>(large.count()) /
                                    static_cast<double>(std::max<std::int64_t>(1, small.count())));
    EXPECT_LT(power, 0.3);
}

} // namespace
} // namespace verbenalever
