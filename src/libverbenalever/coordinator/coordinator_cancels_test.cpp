// Cancels that arrive before the submission of their workflow, or at a replaced coordinator.

#include "testing/coordinator_fixture.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>

namespace verbenalever {
namespace {

class coordinator_cancels_test : public coordinator_fixture {
protected:
    /// Cancel a workflow; the outcome is stored in this->cancel_outcomes.
    void cancel(process& at, const std::string& id)
    {
        at.active_coordinator->cancel(
            id, [this, id](call_outcome outcome) { this->cancel_outcomes[id] = outcome; });
    }

    call_outcome status_outcome(process& of, const std::string& id)
    {
        std::optional<call_outcome> found;
        of.active_coordinator->status(
            id, [&found](call_outcome outcome, workflow_state) { found = outcome; });
        return found.value_or(call_outcome::unknown);
    }

    std::map<std::string, call_outcome> cancel_outcomes;
};

// A task ran although its cancel was acknowledged: the cancel overtook the submission, which waited
// at another entry daemon, and was answered as if the workflow could never exist.
TEST_F(coordinator_cancels_test, a_submission_that_arrives_after_its_cancel_never_runs)
{
    this->targets.add("t1", 8000);
    auto& first = this->elect("vm-1");
    this->cancel(first, "w");
    this->run_for(milliseconds(200));
    EXPECT_EQ(this->cancel_outcomes.at("w"), call_outcome::not_found);
    EXPECT_EQ(this->status_outcome(first, "w"), call_outcome::not_found);
    this->submit(first, "w", {this->tasks(2, 1)});
    this->run_for(milliseconds(400));
    EXPECT_EQ(this->outcomes.at("w"), call_outcome::accepted);
    EXPECT_EQ(this->state(first, "w"), workflow_state::cancelled);
    EXPECT_EQ(this->targets.start_count, 0);
    this->cancel(first, "w");
    EXPECT_EQ(this->cancel_outcomes.at("w"), call_outcome::accepted);
}

// The same with a change of the coordinator between the cancel and the submission, and after both.
TEST_F(coordinator_cancels_test, a_cancel_before_the_submission_outlives_its_coordinator)
{
    this->targets.add("t1", 8000);
    auto& first = this->elect("vm-1");
    this->cancel(first, "w");
    this->run_for(milliseconds(200));
    ASSERT_TRUE(this->cancel_outcomes.contains("w"));
    this->kill(first);
    auto& second = this->elect("vm-2");
    this->submit(second, "w", {this->tasks(2, 1)});
    this->run_for(milliseconds(400));
    EXPECT_EQ(this->outcomes.at("w"), call_outcome::accepted);
    this->kill(second);
    auto& third = this->elect("vm-3");
    this->run_for(milliseconds(300));
    EXPECT_EQ(this->status_outcome(third, "w"), call_outcome::accepted);
    EXPECT_EQ(this->state(third, "w"), workflow_state::cancelled);
    EXPECT_EQ(this->targets.start_count, 0);
}

// A coordinator that had been replaced without knowing it answered a cancel with "no such workflow"
// although its successor had accepted the workflow, which ran on to its end.
TEST_F(coordinator_cancels_test, a_replaced_coordinator_does_not_say_that_a_workflow_does_not_exist)
{
    auto& first = this->elect("vm-1");
    // Another process has won, and the news of it has not arrived.
    auto& fence = this->store.items.at("v/fence");
    fence.value = "another";
    fence.revision = ++this->store.revision;
    this->cancel(first, "w");
    this->run_for(milliseconds(300));
    EXPECT_EQ(this->cancel_outcomes.at("w"), call_outcome::unknown);
}

// A cancel is acknowledged only once it is stored: its submission could be accepted by a successor.
TEST_F(coordinator_cancels_test, no_cancel_is_acknowledged_while_the_store_is_away)
{
    this->targets.add("t1", 8000);
    auto& first = this->elect("vm-1");
    first.all_members_connected = true;
    this->store.down = true;
    this->cancel(first, "w");
    this->run_for(milliseconds(1000));
    EXPECT_FALSE(this->cancel_outcomes.contains("w"));
    this->submit(first, "w", {this->tasks(2, 1)});
    this->run_for(milliseconds(1000));
    this->store.down = false;
    this->run_for(milliseconds(1500));
    EXPECT_TRUE(this->cancel_outcomes.contains("w"));
    EXPECT_EQ(this->targets.start_count, 0);
}

// The state of a workflow went from running to queued at a change of the coordinator: a cancelled
// workflow of which nothing had started was shown as running until its end was stored.
TEST_F(coordinator_cancels_test, a_workflow_that_never_started_is_not_shown_as_running)
{
    auto& first = this->elect("vm-1");
    first.all_members_connected = true;
    this->submit(first, "w", {this->tasks(2, 1)});
    this->run_for(milliseconds(200));
    this->store.down = true;
    this->cancel(first, "w");
    this->run_for(milliseconds(200));
    EXPECT_EQ(this->state(first, "w"), workflow_state::queued);
    this->store.down = false;
    this->run_for(milliseconds(1500));
    EXPECT_EQ(this->state(first, "w"), workflow_state::cancelled);
}

// Cancels of workflows that do not exist must not fill the memory of the coordinator.
TEST_F(coordinator_cancels_test, cancels_of_unknown_workflows_are_bounded)
{
    constexpr int bound = 10'000;
    auto& first = this->elect("vm-1");
    for (int number = 0; number < bound; ++number)
        first.active_coordinator->cancel("w" + std::to_string(number), [](call_outcome) {});
    this->cancel(first, "w0");
    this->cancel(first, "one more");
    EXPECT_EQ(this->cancel_outcomes.at("one more"), call_outcome::refused);
    this->run_for(milliseconds(1500));
    EXPECT_EQ(this->cancel_outcomes.at("w0"), call_outcome::not_found);
}

} // namespace
} // namespace verbenalever
