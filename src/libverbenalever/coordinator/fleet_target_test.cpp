#include "coordinator/fleet_target.h"

#include "coordinator/free_capacity_index.h"
#include "coordinator/target_session.h"

#include <gtest/gtest.h>

namespace verbenalever {
namespace {

class fleet_target_test : public testing::Test {
protected:
    free_capacity_index free_targets;
    fleet_target target{target_report{.name = "t1", .born_ms = 1}, 1, this->free_targets};
};

// Load pattern: all tasks of a target fail at the same moment. That is one sign of a bad target,
// and must not quarantine it as long as repeated failures of new tasks do.
TEST_F(fleet_target_test, failures_at_the_same_time_quarantine_a_target_once)
{
    for (int task = 0; task < 6; ++task)
        this->target.record_failure(milliseconds(1000 + task));
    EXPECT_TRUE(this->target.quarantined(milliseconds(3900)));
    EXPECT_FALSE(this->target.quarantined(milliseconds(4100)));
}

TEST_F(fleet_target_test, a_failure_after_the_quarantine_doubles_it)
{
    this->target.record_failure(milliseconds(1000));
    EXPECT_FALSE(this->target.quarantined(milliseconds(1000)));
    this->target.record_failure(milliseconds(1000));
    EXPECT_FALSE(this->target.quarantined(milliseconds(4100)));
    this->target.record_failure(milliseconds(4200));
    EXPECT_TRUE(this->target.quarantined(milliseconds(10'000)));
    EXPECT_FALSE(this->target.quarantined(milliseconds(10'300)));
    this->target.record_success();
    this->target.record_failure(milliseconds(20'000));
    EXPECT_FALSE(this->target.quarantined(milliseconds(20'000)));
}

} // namespace
} // namespace verbenalever
