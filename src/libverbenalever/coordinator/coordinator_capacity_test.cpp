// Targets whose capacity shrinks and grows while they run.

#include "coordinator/target_session.h"
#include "testing/coordinator_fixture.h"

#include <gtest/gtest.h>

#include <string>

namespace verbenalever {
namespace {

class coordinator_capacity_test : public coordinator_fixture {
protected:
    /// Adds a target whose tasks run until they are stopped or ended.
    fake_targets::target& add_target(const std::string& name, std::int64_t cores)
    {
        auto& added = this->targets.add(name, cores * 1000);
        added.task_duration = milliseconds(0);
        return added;
    }

    /// Changes the processors of a target, which the list shows at once.
    void list_cores(const std::string& name, std::int64_t cores)
    {
        auto capacity = this->targets.targets.at(name)->report.capacity;
        capacity.processors_milli = cores * 1000;
        this->targets.set_capacity(name, capacity);
        this->targets.publish_targets();
    }

    /// Submits a step whose placement takes half a second to be stored, and returns once it is
    /// placed.
    void submit_with_slow_store(process& to, const std::string& id, const step_spec& step)
    {
        this->store.commit_delay = milliseconds(500);
        this->submit(to, id, {step});
        this->run_for(milliseconds(700)); // its record is stored, and its placement waits
        ASSERT_EQ(this->targets.running(id), 0);
    }

    /// Lets the next start order to the target have neither an effect nor an answer; the target
    /// answers again @p silence later.
    void lose_next_start(fake_targets::target& at, milliseconds silence)
    {
        this->answers_again =
            std::make_unique<timer>(this->loop, [&at] { at.unresponsive = false; });
        this->targets.on_start_at = [this, &at, silence](const fake_targets::target& started_at) {
            if (&started_at != &at || this->answers_again->active() || this->start_lost)
                return;
            this->start_lost = true;
            at.unresponsive = true;
            this->answers_again->start_once(silence);
        };
    }

    void expect_no_violation()
    {
        EXPECT_TRUE(this->targets.violations.empty()) << this->targets.violations.front();
    }

    std::unique_ptr<timer> answers_again;
    bool start_lost = false;
};

// A start whose placement was being stored while the capacity shrank must not be sent.
TEST_F(coordinator_capacity_test, a_start_that_no_longer_fits_once_it_is_stored_is_withdrawn)
{
    this->add_target("t1", 4);
    auto& first = this->elect("vm-1");
    this->submit_with_slow_store(first, "w", this->tasks(2, 2));
    this->list_cores("t1", 3);
    this->run_for(milliseconds(1500));
    this->expect_no_violation();
    EXPECT_EQ(this->targets.running("w"), 1);
    this->store.commit_delay = milliseconds(1);
    this->list_cores("t1", 4);
    this->run_for(milliseconds(500));
    EXPECT_EQ(this->targets.running("w"), 2);
    this->expect_no_violation();
}

// A start that got no answer must not be repeated at once when it no longer fits.
TEST_F(coordinator_capacity_test, a_start_that_no_longer_fits_is_not_repeated)
{
    auto& target = this->add_target("t1", 4);
    auto& first = this->elect("vm-1");
    this->submit(first, "earlier", {this->tasks(1, 2)});
    this->run_for(milliseconds(100));
    ASSERT_EQ(this->targets.running("earlier"), 1);
    this->lose_next_start(target, milliseconds(200));
    this->submit(first, "w", {this->tasks(1, 2)});
    this->run_for(milliseconds(100));
    ASSERT_TRUE(this->start_lost);
    this->list_cores("t1", 3);
    this->run_for(milliseconds(1500));
    this->expect_no_violation();
    EXPECT_EQ(this->targets.running("earlier"), 1);
    EXPECT_EQ(this->targets.running("w"), 0);
    this->list_cores("t1", 4);
    this->run_for(milliseconds(1500));
    EXPECT_EQ(this->targets.running("w"), 1);
    this->expect_no_violation();
}

// Nor may it be sent again when the target answers after some time.
TEST_F(coordinator_capacity_test, a_start_that_no_longer_fits_is_not_sent_again)
{
    auto& target = this->add_target("t1", 4);
    auto& first = this->elect("vm-1");
    this->submit(first, "earlier", {this->tasks(1, 2)});
    this->run_for(milliseconds(100));
    this->lose_next_start(target, milliseconds(600)); // so that the repeated one is lost as well
    this->submit(first, "w", {this->tasks(1, 2)});
    this->run_for(milliseconds(450));
    ASSERT_TRUE(this->start_lost);
    this->list_cores("t1", 3);
    this->run_for(milliseconds(1500));
    this->expect_no_violation();
    EXPECT_EQ(this->targets.running("earlier"), 1);
    EXPECT_EQ(this->targets.running("w"), 0);
    this->list_cores("t1", 4);
    this->run_for(milliseconds(1500));
    EXPECT_EQ(this->targets.running("w"), 1);
    this->expect_no_violation();
}

/// With the name of the target that shrinks.
class coordinator_gang_capacity_test : public coordinator_capacity_test,
                                       public testing::WithParamInterface<const char*> {};

// The members of a gang that were started would wait in vain for one that was withdrawn.
TEST_P(coordinator_gang_capacity_test, no_member_of_a_gang_starts_when_another_no_longer_fits)
{
    this->add_target("t1", 2);
    this->add_target("t2", 2);
    auto& first = this->elect("vm-1");
    this->submit_with_slow_store(first, "gang", this->tasks(2, 2, true));
    this->list_cores(GetParam(), 1);
    this->run_for(milliseconds(1500));
    EXPECT_EQ(this->targets.start_count, 0);
    this->store.commit_delay = milliseconds(1);
    this->list_cores(GetParam(), 2);
    this->run_for(milliseconds(500));
    EXPECT_EQ(this->targets.running("gang"), 2);
    this->expect_no_violation();
}

INSTANTIATE_TEST_SUITE_P(shrinking, coordinator_gang_capacity_test, testing::Values("t1", "t2"));

// The same when the target of a member stops answering while the placements are being stored.
TEST_F(coordinator_capacity_test, no_member_of_a_gang_starts_when_the_target_of_another_is_silent)
{
    this->add_target("t1", 3);
    auto& silent = this->add_target("t2", 3);
    auto& first = this->elect("vm-1");
    auto polled = this->tasks(2, 1); // polls of its targets show which of them is silent
    polled.max_per_target = 1;
    this->submit(first, "polled", {polled});
    this->run_for(milliseconds(200));
    ASSERT_EQ(this->targets.running("polled"), 2);
    this->targets.start_count = 0;
    this->store.commit_delay = milliseconds(550);
    this->submit(first, "gang", {this->tasks(2, 2, true)});
    this->run_for(milliseconds(100));
    silent.unresponsive = true;
    this->run_for(milliseconds(1300));
    EXPECT_EQ(this->targets.start_count, 0);
    this->expect_no_violation();
}

// A member whose start got no answer and no longer fits: the members that have started are stopped
// rather than left to wait for it.
TEST_F(coordinator_capacity_test, a_gang_is_stopped_when_a_start_without_answer_no_longer_fits)
{
    auto& target = this->add_target("t1", 2);
    this->add_target("t2", 2);
    auto& first = this->elect("vm-1");
    this->lose_next_start(target, milliseconds(200));
    this->submit(first, "gang", {this->tasks(2, 2, true)});
    this->run_for(milliseconds(100));
    ASSERT_TRUE(this->start_lost);
    ASSERT_EQ(this->targets.running("gang"), 1);
    this->list_cores("t1", 1);
    this->run_for(milliseconds(250));
    EXPECT_EQ(this->targets.running("gang"), 0);
    this->run_for(milliseconds(1000));
    EXPECT_EQ(this->targets.running("gang"), 0);
    this->list_cores("t1", 2);
    this->run_for(milliseconds(1000));
    EXPECT_EQ(this->targets.running("gang"), 2);
    this->expect_no_violation();
}

// Capacity goes to nothing, grows beyond its first value and shrinks below what is in use.
TEST_F(coordinator_capacity_test, starts_follow_the_listed_capacity_in_any_order_of_changes)
{
    this->add_target("t1", 2);
    auto& first = this->elect("vm-1");
    this->list_cores("t1", 0);
    this->submit(first, "w", {this->tasks(20, 1)});
    this->run_for(milliseconds(300));
    EXPECT_EQ(this->targets.running("w"), 0);
    const auto run_at = [this](std::int64_t cores) {
        this->list_cores("t1", cores);
        this->run_for(milliseconds(300));
        return this->targets.running("w");
    };
    EXPECT_EQ(run_at(3), 3);
    EXPECT_EQ(run_at(8), 8);
    EXPECT_EQ(run_at(5), 8);
    EXPECT_EQ(run_at(0), 8);
    EXPECT_EQ(run_at(9), 9);
    this->list_cores("t1", 4);
    this->targets.end_all("t1", target_view::ending::stopped);
    this->run_for(milliseconds(300));
    EXPECT_EQ(this->targets.running("w"), 4);
    this->expect_no_violation();
}

// Only the memory shrinks: processors that are free are no reason to start, and tasks that need
// none of a resource that has shrunk are not held up.
TEST_F(coordinator_capacity_test, a_shrink_of_one_resource_counts_for_tasks_that_need_it)
{
    auto& target = this->add_target("t1", 8);
    target.report.capacity.memory_mb = 400;
    target.report.capacity.accelerators = 1;
    auto& first = this->elect("vm-1");
    auto accelerated = this->tasks(1, 1);
    accelerated.need.accelerators = 1;
    this->submit(first, "accelerated", {accelerated});
    this->run_for(milliseconds(200));
    ASSERT_EQ(this->targets.running("accelerated"), 1);
    this->targets.set_capacity("t1", {.processors_milli = 8000, .memory_mb = 200});
    this->targets.publish_targets();
    this->submit(first, "w", {this->tasks(4, 1)});
    this->run_for(milliseconds(300));
    EXPECT_EQ(this->targets.running("w"), 1);
    this->expect_no_violation();
}

// Runs that are being stopped count until their ends are listed.
TEST_F(coordinator_capacity_test, runs_that_are_being_stopped_count_against_a_shrunk_capacity)
{
    auto& target = this->add_target("t1", 4);
    target.stop_delay = milliseconds(600);
    auto& first = this->elect("vm-1");
    this->submit(first, "batch", {this->tasks(4, 1)}, "slow");
    this->run_for(milliseconds(200));
    ASSERT_EQ(this->targets.running("batch"), 4);
    this->list_cores("t1", 2);
    this->submit(first, "w", {this->tasks(2, 1)});
    this->run_for(milliseconds(500));
    EXPECT_EQ(this->targets.running("w"), 0);
    this->run_for(milliseconds(2000));
    EXPECT_EQ(this->targets.running("w"), 2);
    this->expect_no_violation();
}

// A successor knows only what targets answer; what its predecessor started counts.
TEST_F(coordinator_capacity_test, runs_of_an_earlier_coordinator_count_against_a_shrunk_capacity)
{
    this->add_target("t1", 4);
    auto& target = this->add_target("t2", 4);
    auto& first = this->elect("vm-1");
    this->submit(first, "earlier", {this->tasks(6, 1)});
    this->run_for(milliseconds(200));
    ASSERT_EQ(this->targets.running("earlier"), 6);
    target.unresponsive = true;
    this->kill(first);
    this->list_cores("t1", 3);
    this->list_cores("t2", 3);
    auto& second = this->elect("vm-2");
    this->submit(second, "w", {this->tasks(6, 1)});
    this->run_for(milliseconds(300));
    target.unresponsive = false;
    this->run_for(milliseconds(1500));
    this->expect_no_violation();
    EXPECT_EQ(this->targets.running("earlier"), 6);
    EXPECT_LE(this->targets.running("w"), 1);
    this->list_cores("t1", 6);
    this->list_cores("t2", 6);
    this->run_for(milliseconds(500));
    EXPECT_EQ(this->targets.running("w"), 6);
    this->expect_no_violation();
}

// The store refuses to be read and still commits: a shrink could not be seen, so nothing is started
// on a list that is too old. A short failure holds nothing up.
TEST_F(coordinator_capacity_test, nothing_is_started_while_the_list_is_too_old)
{
    this->add_target("t1", 4);
    this->add_target("t2", 4);
    auto& first = this->elect("vm-1");
    this->targets.list_stopped_at = boot_time();
    this->run_for(milliseconds(2000));
    this->submit(first, "early", {this->tasks(1, 2)});
    this->run_for(milliseconds(200));
    EXPECT_EQ(this->targets.running("early"), 1);
    // It is placed just before the list is too old, and its placement is stored after that.
    this->store.commit_delay = milliseconds(700);
    this->submit(first, "placed", {this->tasks(1, 2)});
    this->run_for(milliseconds(1500));
    this->store.commit_delay = milliseconds(1);
    this->submit(first, "late", {this->tasks(1, 2)});
    this->run_for(milliseconds(1000));
    EXPECT_EQ(this->targets.running("placed"), 0);
    EXPECT_EQ(this->targets.running("late"), 0);
    this->targets.list_stopped_at = milliseconds(0);
    this->run_for(milliseconds(500));
    EXPECT_EQ(this->targets.running("placed"), 1);
    EXPECT_EQ(this->targets.running("late"), 1);
    EXPECT_EQ(this->targets.running("early"), 1);
}

// A start without an answer is not sent again on a list that is too old.
TEST_F(coordinator_capacity_test, no_start_is_sent_again_while_the_list_is_too_old)
{
    auto& target = this->add_target("t1", 4);
    auto& first = this->elect("vm-1");
    this->targets.list_stopped_at = boot_time();
    this->run_for(milliseconds(2850));
    this->lose_next_start(target, milliseconds(200));
    this->submit(first, "w", {this->tasks(1, 2)});
    this->run_for(milliseconds(100));
    ASSERT_TRUE(this->start_lost);
    this->run_for(milliseconds(1500));
    EXPECT_EQ(this->targets.start_count, 1);
    EXPECT_EQ(this->targets.running("w"), 0);
    this->targets.list_stopped_at = milliseconds(0);
    this->run_for(milliseconds(500));
    EXPECT_EQ(this->targets.running("w"), 1);
}

} // namespace
} // namespace verbenalever
