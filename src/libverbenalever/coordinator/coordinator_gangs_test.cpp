// Gangs that need the advisor's permission for each target; each case names its load pattern.

#include "coordinator/target_session.h"
#include "testing/coordinator_fixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace verbenalever {
namespace {

/// Adds an in-memory advisor that answers after 300 ms plus 1 ms for each target.
class coordinator_gangs_test : public coordinator_fixture {
protected:
    struct asked_question {
        std::string workflow;
        std::set<std::string> targets;
        milliseconds asked_at{0};
    };

    coordinator_gangs_test()
    {
        this->configuration->queues.push_back({.name = "advised",
                                               .pool = "pool",
                                               .priority = 1,
                                               .attempts = 3,
                                               .stretch = 2,
                                               .latency_objective = milliseconds(20'000),
                                               .needs_advice = true,
                                               .advice_base_ms = 300,
                                               .advice_target_ms = 1});
    }

    /// Adds the queue "batch" and fills each target but for 22 of its 64 processors with tasks of
    /// it that have checkpoints.
    void fill_with_batch(process& to, int target_count, milliseconds latency_objective)
    {
        this->configuration->queues.push_back({.name = "batch",
                                               .pool = "pool",
                                               .priority = 2,
                                               .attempts = 3,
                                               .latency_objective = latency_objective});
        to.active_coordinator->apply_configuration(this->configuration);
        auto tasks = this->tasks(static_cast<std::uint32_t>(target_count), 42);
        tasks.checkpointing = true;
        tasks.max_per_target = 1;
        this->submit(to, "batch", {tasks}, "batch");
        this->run_for(milliseconds(500));
        ASSERT_EQ(this->targets.running("batch"), target_count);
    }

    void add_targets(int count, std::int64_t cores)
    {
        for (int number = 0; number < count; ++number)
            this->targets.add("t" + std::to_string(1000 + number), cores * 1000).task_duration =
                milliseconds(0);
    }

    /// Adds VMs through which questions reach the advisor.
    /// @param is_allowed whether the advisor allows tasks on a target
    void add_advisor(process& to, int vms,
                     const std::function<bool(const std::string& target)>& is_allowed)
    {
        for (int number = 0; number < vms; ++number)
            to.active_coordinator->advice_dispatch().add_vm(
                "vm-" + std::to_string(number),
                [this, is_allowed](const advice_question& question, milliseconds,
                                   advice_dispatcher::answer_callback done) {
                    this->questions.push_back({question.workflow,
                                               {question.targets.begin(), question.targets.end()},
                                               boot_time()});
                    advice_answer answer{.answered = true, .valid_ms = ticket_life.count()};
                    for (const auto& name : question.targets) {
                        if (is_allowed(name))
                            answer.granted.push_back({name, "ticket"});
                    }
                    const auto answer_time =
                        this->advisor_time + milliseconds(std::ssize(question.targets));
                    if (this->answers_within_call) {
                        done(answer);
                        return;
                    }
                    this->timers.push_back(std::make_unique<timer>(
                        this->loop, [answer, done = std::move(done)] { done(answer); }));
                    this->timers.back()->start_once(answer_time);
                });
    }

    static bool every_fourth(const std::string& target)
    {
        return std::stoi(target.substr(1)) % 4 == 0;
    }

    static constexpr milliseconds ticket_life{400};
    milliseconds advisor_time{300};   ///< time to an answer, for a question without targets
    bool answers_within_call = false; ///< the advisor answers before the question has been sent
    std::vector<asked_question> questions;
    std::vector<std::unique_ptr<timer>> timers;
};

// Load pattern: gangs on a full fleet whose advisor takes most of a second for a question. Asking
// only about the targets that are free at the moment repeats questions and delays later gangs.
TEST_F(coordinator_gangs_test, a_gang_asks_about_the_whole_fleet_once)
{
    this->add_targets(40, 1);
    auto& first = this->elect("vm-1");
    this->add_advisor(first, 6, every_fourth);
    this->submit(first, "filling", {this->tasks(40, 1)}, "slow");
    this->run_for(milliseconds(300));
    ASSERT_EQ(this->targets.running("filling"), 40);
    this->submit(first, "gang", {this->tasks(4, 1, true)}, "advised");
    this->run_for(milliseconds(1200));
    ASSERT_EQ(this->questions.size(), 1);
    EXPECT_EQ(this->questions[0].targets.size(), 40);
    // The tickets have expired. Free capacity on targets that were denied must cause no question.
    for (const auto* name : {"t1001", "t1002", "t1003", "t1005", "t1006"})
        this->targets.end_all(name, target_view::ending::done);
    this->run_for(milliseconds(300));
    EXPECT_EQ(this->questions.size(), 1);
    for (const auto* name : {"t1000", "t1004", "t1008", "t1012"})
        this->targets.end_all(name, target_view::ending::done);
    this->run_for(milliseconds(700));
    ASSERT_EQ(this->questions.size(), 2);
    EXPECT_EQ(this->questions[1].targets,
              (std::set<std::string>{"t1000", "t1004", "t1008", "t1012"}));
    EXPECT_EQ(this->targets.running("gang"), 4);
    EXPECT_TRUE(this->targets.violations.empty()) << this->targets.violations.front();
}

// Load pattern: gangs on a fleet larger than one question, with tickets that expire before two
// questions in sequence are answered. Sequential questions never give all tickets at the same time.
TEST_F(coordinator_gangs_test, questions_of_a_large_gang_are_sent_in_parallel)
{
    this->add_targets(300, 1);
    this->targets.detect_duplicate_runs = false;
    auto& first = this->elect("vm-1");
    this->add_advisor(first, 8, every_fourth);
    this->submit(first, "gang", {this->tasks(30, 1, true)}, "advised");
    this->run_for(milliseconds(900));
    ASSERT_GE(this->questions.size(), 2);
    for (const auto& question : this->questions)
        EXPECT_LT(question.asked_at - this->questions.front().asked_at, milliseconds(50));
    EXPECT_EQ(this->targets.running("gang"), 30);
}

// Load pattern: a gang of 240 tasks on a busy fleet of a thousand targets, each with capacity for
// one. A limit on the targets considered must not make the gang look too large for the fleet.
TEST_F(coordinator_gangs_test, a_large_gang_on_a_large_fleet_asks_at_once)
{
    this->add_targets(1000, 1);
    this->targets.detect_duplicate_runs = false;
    auto& first = this->elect("vm-1");
    this->add_advisor(first, 30, every_fourth);
    this->submit(first, "gang", {this->tasks(240, 1, true)}, "advised");
    this->run_for(milliseconds(500));
    EXPECT_FALSE(this->questions.empty());
}

// Load pattern: many gangs at once on a fleet with capacity for all of them. They must start in
// parallel, each within a few questions, and not one after the other.
TEST_F(coordinator_gangs_test, concurrent_gangs_all_start_when_they_fit)
{
    constexpr int gangs = 6;
    this->add_targets(300, 2);
    this->targets.detect_duplicate_runs = false;
    auto& first = this->elect("vm-1");
    this->add_advisor(first, 12, every_fourth);
    for (int number = 0; number < gangs; ++number)
        this->submit(first, "gang" + std::to_string(number), {this->tasks(10, 1, true)}, "advised");
    this->run_for(milliseconds(4000));
    for (int number = 0; number < gangs; ++number)
        EXPECT_EQ(this->targets.running("gang" + std::to_string(number)), 10) << number;
}

// Load pattern: gangs wait on a full fleet of more targets than one question may name. A gang that
// asked only about targets with free capacity would learn nothing until it is free, and would then
// lose it to other work while it asks.
TEST_F(coordinator_gangs_test, a_gang_learns_its_targets_while_a_large_fleet_is_full)
{
    constexpr int fleet = 240;
    this->add_targets(fleet, 4);
    auto& first = this->elect("vm-1");
    this->add_advisor(first, 8, every_fourth);
    this->submit(first, "filling", {this->tasks(fleet, 4)});
    this->run_for(milliseconds(600));
    ASSERT_EQ(this->targets.running("filling"), fleet);
    this->submit(first, "gang", {this->tasks(10, 4, true)}, "advised");
    this->run_for(milliseconds(1500));
    std::set<std::string> asked;
    for (const auto& question : this->questions)
        asked.insert(question.targets.begin(), question.targets.end());
    EXPECT_EQ(asked.size(), fleet);
    this->questions.clear();
    for (int number = 0; number < fleet; number += 2)
        this->targets.end_all("t" + std::to_string(1000 + number), target_view::ending::done);
    this->run_for(milliseconds(800));
    EXPECT_EQ(this->targets.running("gang"), 10);
    for (const auto& question : this->questions)
        EXPECT_LE(question.targets.size(), 10);
}

// Load pattern: gangs of three tasks to an empty target on a fleet at two thirds of its capacity.
// The free processors are spread over all targets, so that a large gang would wait for many ends of
// batch work at once while new batch work takes the place of what ended.
TEST_F(coordinator_gangs_test, a_large_gang_preempts_batch_work_that_resumes_and_is_in_time)
{
    constexpr int fleet = 120;
    this->add_targets(fleet, 64);
    this->targets.detect_duplicate_runs = false;
    auto& first = this->elect("vm-1");
    this->add_advisor(first, 8, every_fourth);
    this->fill_with_batch(first, fleet, milliseconds(20'000));
    this->submit(first, "gang", {this->tasks(60, 18, true)}, "advised");
    this->run_for(milliseconds(2500));
    EXPECT_EQ(this->targets.running("gang"), 60);
    EXPECT_LT(this->targets.running("batch"), fleet);
    EXPECT_GT(this->targets.running("batch"), fleet * 2 / 3);
    EXPECT_TRUE(this->targets.violations.empty()) << this->targets.violations.front();
}

// Load pattern: the same, with batch work that would be late if it were stopped.
TEST_F(coordinator_gangs_test, a_gang_preempts_no_batch_work_that_would_become_late)
{
    constexpr int fleet = 120;
    this->add_targets(fleet, 64);
    this->targets.detect_duplicate_runs = false;
    auto& first = this->elect("vm-1");
    this->add_advisor(first, 8, every_fourth);
    this->fill_with_batch(first, fleet, milliseconds(1000));
    this->submit(first, "gang", {this->tasks(60, 18, true)}, "advised");
    this->run_for(milliseconds(2500));
    EXPECT_EQ(this->targets.running("gang"), 0);
    EXPECT_EQ(this->targets.running("batch"), fleet);
}

// Load pattern: gangs wait on a full fleet of a thousand targets. What they would learn costs more
// than it is worth: each pass looks at all allowed targets of each gang.
TEST_F(coordinator_gangs_test, a_gang_asks_nothing_while_one_of_the_largest_fleets_is_full)
{
    constexpr int fleet = 900;
    this->add_targets(fleet, 4);
    auto& first = this->elect("vm-1");
    this->add_advisor(first, 30, every_fourth);
    this->submit(first, "filling", {this->tasks(fleet, 4)});
    this->run_for(milliseconds(1500));
    ASSERT_EQ(this->targets.running("filling"), fleet);
    this->submit(first, "gang", {this->tasks(10, 4, true)}, "advised");
    this->run_for(milliseconds(1000));
    EXPECT_TRUE(this->questions.empty());
    for (int number = 0; number < fleet; number += 2)
        this->targets.end_all("t" + std::to_string(1000 + number), target_view::ending::done);
    this->run_for(milliseconds(1500));
    EXPECT_EQ(this->targets.running("gang"), 10);
}

// A workflow waited for good beside empty targets: room that was kept for the next run of a gang
// was not given back when an earlier run, believed lost, turned out to be done.
TEST_F(coordinator_gangs_test, room_for_a_run_that_is_not_needed_any_more_is_given_back)
{
    this->add_targets(8, 1);
    for (auto& [name, target] : this->targets.targets)
        target->report.availability_zone = "zone of " + name; // no zone counts as cut off
    this->advisor_time = milliseconds(3000);
    this->configuration->queues.back().advice_base_ms = 3000;
    auto& first = this->elect("vm-1");
    this->add_advisor(first, 6, [](const auto&) { return true; });
    auto next = this->tasks(6, 1, true);
    next.after = {0};
    this->submit(first, "gang", {this->tasks(4, 1, true), next}, "advised");
    this->run_for(milliseconds(3500));
    ASSERT_EQ(this->targets.running("gang"), 4);
    std::vector<std::string> cut;
    for (const auto& [name, target] : this->targets.targets) {
        if (target->running.empty())
            continue;
        cut.push_back(name);
        target->unresponsive = true;
    }
    // The runs end while their targets are cut off, and the coordinator gives them up.
    for (const auto& name : cut)
        this->targets.end_all(name, target_view::ending::done);
    const auto asked_before = this->questions.size();
    for (int round = 0; round < 100 && this->questions.size() == asked_before; ++round)
        this->run_for(milliseconds(50));
    ASSERT_GT(this->questions.size(), asked_before);
    for (const auto& name : cut)
        this->targets.targets.at(name)->unresponsive = false;
    for (int round = 0; round < 80 && this->targets.running("gang") < 6; ++round)
        this->run_for(milliseconds(100));
    EXPECT_EQ(this->targets.running("gang"), 6);
}

// Room was kept for a step that had just been placed, when the advisor's answer came within the
// call.
TEST_F(coordinator_gangs_test, no_room_is_kept_for_a_gang_whose_answer_came_within_the_call)
{
    this->add_targets(4, 2);
    this->answers_within_call = true;
    auto& first = this->elect("vm-1");
    this->add_advisor(first, 6, [](const auto&) { return true; });
    this->submit(first, "filling", {this->tasks(4, 2)}, "slow");
    this->run_for(milliseconds(300));
    ASSERT_EQ(this->targets.running("filling"), 4);
    auto gang = this->tasks(4, 1, true);
    gang.max_per_target = 1;
    this->submit(first, "gang", {gang}, "advised");
    this->run_for(ticket_life + milliseconds(300));
    for (int number = 0; number < 4; ++number)
        this->targets.end_all("t" + std::to_string(1000 + number), target_view::ending::done);
    this->run_for(milliseconds(500));
    ASSERT_EQ(this->targets.running("gang"), 4);
    this->submit(first, "other", {this->tasks(4, 1)}, "slow");
    this->run_for(milliseconds(500));
    EXPECT_EQ(this->targets.running("other"), 4);
}

// A gang that had reached its team's limit kept the room that it could not use.
TEST_F(coordinator_gangs_test, a_gang_at_the_limit_of_its_team_keeps_no_room)
{
    this->configuration->teams.front().limit.processors_milli = 4000;
    this->configuration->teams.push_back({.name = "others", .keys = {}, .weight = 1, .limit = {}});
    this->add_targets(4, 2);
    auto& first = this->elect("vm-1");
    this->add_advisor(first, 6, [](const auto&) { return true; });
    const auto submit_for_others = [&](const std::string& id, std::uint32_t count) {
        const auto spec = this->tasks(count, 2);
        this->targets.need_by_workflow[id] = spec.need;
        first.active_coordinator->submit({id, "slow", "others", {.payload = "p", .steps = {spec}}},
                                         [](call_outcome, std::int64_t) {});
    };
    submit_for_others("filling", 4);
    this->run_for(milliseconds(300));
    ASSERT_EQ(this->targets.running("filling"), 4);
    this->submit(first, "gang", {this->tasks(4, 1, true)}, "advised");
    this->run_for(milliseconds(304) + ticket_life + milliseconds(100));
    this->questions.clear();
    for (int number = 0; number < 4; ++number)
        this->targets.end_all("t" + std::to_string(1000 + number), target_view::ending::done);
    for (int round = 0; round < 100 && this->questions.empty(); ++round)
        this->run_for(milliseconds(5));
    ASSERT_FALSE(this->questions.empty());
    // The gang renews its tickets; meanwhile other work of its team takes a part of the limit.
    this->submit(first, "urgent", {this->tasks(1, 1)});
    this->run_for(milliseconds(600));
    ASSERT_EQ(this->targets.running("urgent"), 1);
    ASSERT_EQ(this->targets.running("gang"), 0);
    submit_for_others("other", 3);
    this->run_for(milliseconds(500));
    EXPECT_EQ(this->targets.running("other"), 3);
}

} // namespace
} // namespace verbenalever
