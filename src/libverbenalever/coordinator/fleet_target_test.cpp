#include "coordinator/fleet_target.h"

#include "coordinator/free_capacity_index.h"
#include "coordinator/target_session.h"
#include "coordinator/workflow.h"

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

// Capacity that has shrunk below what is in use: nothing counts as free, reserved or not, until
// enough of it is given back or has grown again.
TEST_F(fleet_target_test, nothing_is_free_while_more_is_used_than_the_capacity)
{
    const auto list = [this](const resources& capacity) {
        auto report = this->target.report;
        report.capacity = capacity;
        this->target.update_report(report);
    };
    workflow owner;
    const resources need{.processors_milli = 2000, .memory_mb = 100};
    list({.processors_milli = 4000, .memory_mb = 300, .accelerators = 1});
    this->target.add_run({"w", 0, 0, 0}, {.owner = &owner, .run = 1, .need = need});
    this->target.reserved += need;
    EXPECT_EQ(this->target.count_fitting(need), 0);
    this->target.reserved -= need;
    EXPECT_EQ(this->target.count_fitting(need), 1);

    list({.processors_milli = 1000, .memory_mb = 300});
    EXPECT_EQ(this->target.count_fitting(need), 0);
    EXPECT_EQ(this->target.count_fitting({.processors_milli = 1}), 0);
    EXPECT_FALSE(this->target.can_start(need));
    EXPECT_TRUE(this->target.can_start({.memory_mb = 100}));
    EXPECT_TRUE(this->free_targets.entries().empty());
    list({.processors_milli = 8000, .memory_mb = 50});
    EXPECT_EQ(this->target.count_fitting(need), 0);
    EXPECT_FALSE(this->target.can_start(need));

    list({.processors_milli = 2000, .memory_mb = 100});
    EXPECT_TRUE(this->target.can_start(need));
    list({.processors_milli = 1000, .memory_mb = 300});
    this->target.remove_run({"w", 0, 0, 0});
    EXPECT_EQ(this->target.count_fitting({.processors_milli = 1000}), 1);
    list({.processors_milli = 8000, .memory_mb = 800});
    EXPECT_EQ(this->target.count_fitting(need), 4);
    EXPECT_EQ(this->free_targets.entries().size(), 1);
}

} // namespace
} // namespace verbenalever
