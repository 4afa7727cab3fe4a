// Submissions that the forecast of their end refuses, and the sums of waiting work it is based on.

#include "testing/coordinator_fixture.h"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>

namespace verbenalever {
namespace {

class coordinator_admission_test : public coordinator_fixture {
protected:
    coordinator_admission_test()
    {
        this->configuration->queues.push_back({.name = "quick",
                                               .pool = "pool",
                                               .priority = 0,
                                               .attempts = 3,
                                               .latency_objective = milliseconds(100)});
        this->configuration->queues.push_back({.name = "batch",
                                               .pool = "pool",
                                               .priority = 2,
                                               .attempts = 3,
                                               .latency_objective = milliseconds(3000)});
        this->configuration->teams.push_back(
            {.name = "hot", .keys = {}, .weight = 1, .limit = {.processors_milli = 1000}});
        this->targets.add("t1", 64'000).task_duration = milliseconds(50);
    }

    void TearDown() override
    {
        this->processes.clear(); // unanswered calls are answered, which adds to retries
    }

    void submit_for(process& to, const std::string& team, const std::string& id,
                    const std::string& queue = "quick")
    {
        this->targets.need_by_workflow[id] = this->tasks(1, 1).need;
        to.active_coordinator->submit(
            {id, queue, team, {.payload = "p", .steps = {this->tasks(1, 1)}}},
            [this, id](call_outcome outcome, std::int64_t retry_after_s) {
                this->outcomes[id] = outcome;
                this->retries[id] = retry_after_s;
            });
    }

    /// Let runs of both queues end, so that their length is learned.
    void learn(process& at)
    {
        for (int number = 0; number < 15; ++number) {
            this->submit_for(at, "team", "learn-" + std::to_string(number));
            this->submit_for(at, "team", "learn-batch-" + std::to_string(number), "batch");
        }
        this->run_for(milliseconds(500));
    }

    void submit_burst(process& to, int count)
    {
        for (int number = 0; number < count; ++number)
            this->submit_for(to, "hot", "hot-" + std::to_string(number));
    }

    [[nodiscard]] std::int64_t refused() const
    {
        std::int64_t count = 0;
        for (const auto& [id, outcome] : this->outcomes)
            count += outcome == call_outcome::refused ? 1 : 0;
        return count;
    }

    std::map<std::string, std::int64_t> retries; ///< recommended delays in seconds, by id
};

// A team at several times its usual load was accepted in full, and its work ended too late.
TEST_F(coordinator_admission_test, only_the_team_whose_queue_is_too_long_is_refused)
{
    this->admission = admission_policy::deadline;
    auto& only = this->elect("vm-1");
    this->learn(only);
    this->submit_burst(only, 60);
    const auto refused = this->refused();
    EXPECT_GT(refused, 0);
    EXPECT_EQ(only.metrics.value("submissions_refused_deadline_team"), refused);
    EXPECT_EQ(this->outcomes["hot-59"], call_outcome::refused);
    EXPECT_GE(this->retries["hot-59"], 1);
    EXPECT_FALSE(this->outcomes.contains("hot-0")) << "accepted first, and not stored yet";
    this->submit_for(only, "team", "other");
    this->submit_for(only, "hot", "hot-batch", "batch");
    this->submit_for(only, "hot", "hot-0"); // known
    EXPECT_EQ(this->refused(), refused);
    this->run_for(milliseconds(200));
    EXPECT_EQ(this->outcomes["other"], call_outcome::accepted);
    EXPECT_EQ(this->outcomes["hot-batch"], call_outcome::accepted);
    EXPECT_EQ(this->outcomes["hot-0"], call_outcome::accepted);
    EXPECT_EQ(this->state(only, "other"), workflow_state::completed);
}

TEST_F(coordinator_admission_test, a_burst_is_accepted_without_the_setting_or_without_learned_runs)
{
    auto& without_setting = this->elect("vm-1");
    this->learn(without_setting);
    this->submit_burst(without_setting, 60);
    EXPECT_EQ(this->refused(), 0);
    this->kill(without_setting);
    this->outcomes.clear();
    this->admission = admission_policy::deadline;
    auto& just_elected = this->elect("vm-2");
    for (int number = 0; number < 60; ++number)
        this->submit_for(just_elected, "hot", "new-" + std::to_string(number));
    this->run_for(milliseconds(50));
    EXPECT_EQ(this->refused(), 0);
}

// Steps that wait for the advisor were not counted, although it serves few questions at a time.
TEST_F(coordinator_admission_test, a_long_queue_of_the_advisor_refuses_submissions)
{
    this->configuration->queues.push_back({.name = "advised",
                                           .pool = "pool",
                                           .priority = 0,
                                           .attempts = 3,
                                           .latency_objective = milliseconds(100),
                                           .needs_advice = true,
                                           .advice_base_ms = 200});
    this->admission = admission_policy::deadline;
    auto& only = this->elect("vm-1");
    bool answers = true;
    only.active_coordinator->advice_dispatch().add_vm(
        "vm-1", [&answers](const advice_question& question, milliseconds,
                           const advice_dispatcher::answer_callback& done) {
            advice_answer answer{.answered = true, .valid_ms = 10'000};
            answer.granted.push_back({question.targets.front(), "ticket"});
            if (answers)
                done(answer);
        });
    for (int number = 0; number < 12; ++number) {
        this->submit_for(only, "team", "learn-" + std::to_string(number), "advised");
        this->run_for(milliseconds(200));
    }
    answers = false;
    for (int number = 0; number < 40; ++number)
        this->submit_for(only, "team", "w" + std::to_string(number), "advised");
    EXPECT_GT(this->refused(), 0);
    EXPECT_EQ(only.metrics.value("submissions_refused_deadline_advisor"), this->refused());
    const auto before = this->refused();
    this->submit_for(only, "team", "needs-no-advice");
    EXPECT_EQ(this->refused(), before);
}

// Work that is too late to be of use does not go first: while it counted, a backlog of it kept
// submissions out that could have been served in time.
TEST_F(coordinator_admission_test, work_that_is_too_late_does_not_count)
{
    auto& only = this->elect("vm-1");
    this->learn(only);
    this->targets.targets.at("t1")->task_duration = milliseconds(0);
    this->submit_burst(only, 30);
    EXPECT_EQ(only.active_coordinator->waiting().ahead_in_team("hot", 0).workflows, 30);
    this->run_for(milliseconds(1500));
    EXPECT_EQ(this->targets.running("hot-0"), 1);
    EXPECT_EQ(only.active_coordinator->waiting().ahead(2), waiting_work::amount{});
}

// All callers were told to come back after one second: their retries were used up while the store
// was away, and those that were left came back together. This needs no setting.
TEST_F(coordinator_admission_test, refusals_for_a_stalled_store_spread_the_retries)
{
    auto& only = this->elect("vm-1");
    only.all_members_connected = true;
    this->store.down = true;
    this->submit_for(only, "team", "sent");
    this->run_for(milliseconds(100));
    this->submit_for(only, "team", "unsent");
    for (int round = 0; round < 100 && !this->outcomes.contains("unsent"); ++round)
        this->run_for(milliseconds(10));
    ASSERT_NE(only.active_coordinator, nullptr);
    EXPECT_EQ(this->outcomes["unsent"], call_outcome::refused);
    EXPECT_EQ(this->retries["unsent"], 1) << "urgent";
    std::set<std::int64_t> delays;
    for (int number = 0; number < 60; ++number) {
        this->submit_for(only, "team", "late-" + std::to_string(number), "batch");
        delays.insert(this->retries["late-" + std::to_string(number)]);
    }
    EXPECT_EQ(delays, (std::set<std::int64_t>{1, 2, 3}));
}

// A change that is not counted would make the sums drift until all submissions are refused.
TEST_F(coordinator_admission_test, the_sums_return_to_zero)
{
    auto& only = this->elect("vm-1");
    this->learn(only);
    this->submit_burst(only, 10);
    only.active_coordinator->cancel("hot-5", [](call_outcome) {});
    auto second = this->tasks(3, 1);
    second.after = {0};
    this->submit(only, "chain", {this->tasks(2, 1), second}, "batch");
    this->targets.targets.at("t1")->fails_all_tasks = true;
    this->run_for(milliseconds(300));
    this->targets.targets.at("t1")->fails_all_tasks = false;
    EXPECT_GT(only.active_coordinator->waiting().ahead(2).workflows, 0);
    for (int round = 0;
         round < 100 && only.active_coordinator->waiting().ahead(2) != waiting_work::amount{};
         ++round)
        this->run_for(milliseconds(100));
    EXPECT_EQ(only.active_coordinator->waiting().ahead(2), waiting_work::amount{});
}

} // namespace
} // namespace verbenalever
