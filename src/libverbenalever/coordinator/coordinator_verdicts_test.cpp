// Losses of targets that say nothing about a task: none of them may fail its workflow.

#include "testing/coordinator_fixture.h"

#include <gtest/gtest.h>

#include <string>

namespace verbenalever {
namespace {

class coordinator_verdicts_test : public coordinator_fixture {
protected:
    /// Losses in each case: more than the crashes after which a task is given up.
    static constexpr int losses = 5;

    /// Makes a target silent while it runs on, for longer than the lease of its runs, and restarts
    /// it then.
    void restart_behind_cut(const std::string& name)
    {
        this->targets.targets.at(name)->unresponsive = true;
        this->run_for(milliseconds(2200));
        ASSERT_EQ(this->targets.running("w"), 0U) << "the lease has ended";
        this->targets.targets.at(name)->unresponsive = false;
        this->targets.restart(name);
    }
};

// A coordinator that was killed took the cause of a job's failure with it.
TEST_F(coordinator_verdicts_test, the_record_of_a_failed_workflow_has_the_reason)
{
    auto& target = this->targets.add("t0", 4000);
    target.fails_all_tasks = true;
    auto& first = this->elect("vm-1");
    this->submit(first, "w", {this->tasks(1, 1)});
    this->run_for(milliseconds(8000));
    ASSERT_EQ(this->state(first, "w"), workflow_state::failed);
    this->kill(first);
    testing::internal::CaptureStdout();
    this->elect("vm-2");
    const auto log = testing::internal::GetCapturedStdout();
    EXPECT_NE(log.find(R"("event":"workflow_failed_earlier","workflow":"w")"), std::string::npos);
    EXPECT_NE(log.find("has failed in runs 1, 2, 3"), std::string::npos) << log;
}

} // namespace
} // namespace verbenalever
