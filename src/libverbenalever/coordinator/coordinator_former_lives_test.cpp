// A target restarts under its name and executes orders that were sent to its former life. Its clock
// starts anew, so that any lease for the former life is one of the longest length in the new one.

#include "testing/coordinator_fixture.h"

#include <gtest/gtest.h>

#include <optional>

namespace verbenalever {
namespace {

constexpr milliseconds target_lease_limit{4000}; ///< far above the lease that coordinators grant
/// An order is on its way for at most this long, see late_execution_limit.
constexpr milliseconds order_transit{2500};
/// By then a task on a target that does not answer has to run elsewhere.
constexpr milliseconds replaced_by = order_transit + target_lease_limit + milliseconds(1500);

class coordinator_former_lives_test : public coordinator_fixture {
protected:
    coordinator_former_lives_test()
    {
        this->longest_task_lease = target_lease_limit;
        this->targets.longest_lease = target_lease_limit;
        this->targets.clocks_restart = true;
        this->targets.executes_starts_for_former_lives = true;
        this->targets.executes_polls_for_former_lives = true;
        this->add_target("t1");
        this->targets.on_start = [this](const start_order& order) {
            if (!this->held)
                this->held = order;
        };
        this->targets.on_start_authority = [this](const order_authority& authority) {
            if (!this->held_authority)
                this->held_authority = authority;
        };
    }

    fake_targets::target& add_target(const std::string& name)
    {
        auto& added = this->targets.add(name, 1000);
        added.task_duration = milliseconds(0);
        return added;
    }

    /// Cut t1 off and send it a start, which it has not received when it restarts.
    void restart_before_the_start_arrives(process& sender)
    {
        this->targets.targets["t1"]->unresponsive = true;
        this->submit(sender, "w", {this->tasks(1, 1)});
        while (!this->held)
            this->run_for(milliseconds(1));
        this->add_target("t2");
        this->targets.restart("t1"); // publishes the list too
    }

    /// Execute the first start in the present life of t1, which stays cut off.
    void execute_held_start()
    {
        auto& target = *this->targets.targets["t1"];
        target.unresponsive = false;
        this->targets.start(target_life{.name = "t1", .born_ms = 1}, *this->held_authority,
                            *this->held, milliseconds(500), [](const order_result&) {});
        target.unresponsive = true;
        ASSERT_EQ(target.running.size(), 1);
    }

    void expect_no_second_run()
    {
        EXPECT_TRUE(this->targets.violations.empty()) << this->targets.violations.front();
    }

    /// Expect that the run on t1 ends before another one starts, and that one does start.
    void expect_one_run_after_the_other()
    {
        this->run_for(replaced_by);
        this->expect_no_second_run();
        EXPECT_EQ(this->targets.targets["t2"]->running.size(), 1);
    }

    std::optional<start_order> held;
    std::optional<order_authority> held_authority;
};

// The task was released when the order could not be on its way any more, while its run went on.
TEST_F(coordinator_former_lives_test, a_task_is_held_as_long_as_the_next_life_may_run_it)
{
    this->restart_before_the_start_arrives(this->elect("vm-1"));
    this->run_for(milliseconds(100));
    this->execute_held_start();
    this->expect_one_run_after_the_other();
}

// The restart is not noticed: the run was given up when the lease of the former life had expired.
TEST_F(coordinator_former_lives_test, a_start_that_an_unnoticed_life_executes_does_not_run_twice)
{
    auto& first = this->elect("vm-1");
    this->targets.listed_born_ms["t1"] = 1;
    this->restart_before_the_start_arrives(first);
    this->execute_held_start();
    this->expect_one_run_after_the_other();
}

// The new life answers one poll and is cut off: the lease that coordinators grant was assumed.
TEST_F(coordinator_former_lives_test, a_new_life_may_have_the_longest_lease_when_it_is_polled)
{
    this->restart_before_the_start_arrives(this->elect("vm-1"));
    this->run_for(milliseconds(100));
    this->execute_held_start();
    auto& target = *this->targets.targets["t1"];
    timer cut(this->loop, [&target] { target.unresponsive = true; });
    this->targets.on_poll = [&](std::int64_t) {
        if (!target.unresponsive)
            cut.start_once(milliseconds(0));
    };
    target.unresponsive = false;
    this->expect_one_run_after_the_other();
}

// A poll for the former life is executed when the new life has been polled: it renewed the lease of
// the new life, and made it forget ends that no coordinator had seen.
TEST_F(coordinator_former_lives_test, a_new_life_refuses_orders_for_the_former_one_once_polled)
{
    auto& first = this->elect("vm-1");
    this->submit(first, "w", {this->tasks(1, 1)});
    this->run_for(milliseconds(300));
    auto& target = *this->targets.targets["t1"];
    ASSERT_EQ(target.running.size(), 1);
    this->targets.restart("t1");
    this->run_for(milliseconds(500));
    ASSERT_EQ(target.running.size(), 1);
    std::optional<order_result::outcome> result;
    this->targets.poll(target_life{.name = "t1", .born_ms = 1}, *this->held_authority, 1,
                       milliseconds(0), milliseconds(500),
                       [&result](const target_view& view) { result = view.result.how; });
    target.unresponsive = true;
    this->add_target("t2");
    this->targets.publish_targets();
    this->expect_one_run_after_the_other();
    EXPECT_EQ(result, order_result::outcome::fenced);
}

// A successor knows that the target restarted: it waited for no longer than for other targets.
TEST_F(coordinator_former_lives_test, a_successor_waits_for_the_longest_lease_of_a_new_life)
{
    auto& first = this->elect("vm-1");
    this->restart_before_the_start_arrives(first);
    this->kill(first);
    this->elect("vm-2");
    this->run_for(milliseconds(300));
    this->execute_held_start();
    this->run_for(milliseconds(1500)); // the time for which leases are renewed without the store
    this->expect_one_run_after_the_other();
}

// A run that a poll has shown is not one of a next life, and does not wait for its lease.
TEST_F(coordinator_former_lives_test, a_run_that_was_listed_is_replaced_when_its_lease_has_expired)
{
    auto& first = this->elect("vm-1");
    this->submit(first, "w", {this->tasks(1, 1)});
    this->run_for(target_lease_limit); // which a new coordinator assumes at its first poll
    ASSERT_EQ(this->targets.targets["t1"]->running.size(), 1);
    this->add_target("t2");
    this->targets.publish_targets();
    this->targets.targets["t1"]->unresponsive = true;
    this->run_for(this->task_lease + milliseconds(1000));
    this->expect_no_second_run();
    EXPECT_EQ(this->targets.targets["t2"]->running.size(), 1);
}

} // namespace
} // namespace verbenalever
