// Questions to the advisor on a busy fleet. Load pattern of all cases: other work takes the
// capacity of the targets that a step has asked about, while other targets have free capacity.

#include "coordinator/target_session.h"
#include "testing/coordinator_fixture.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

namespace verbenalever {
namespace {

class coordinator_advice_test : public coordinator_fixture {
protected:
    struct asked_question {
        advice_question question;
        milliseconds at{0}; ///< time since boot
        advice_dispatcher::answer_callback done;
    };

    coordinator_advice_test()
    {
        this->configuration->queues.push_back({.name = "advised",
                                               .pool = "pool",
                                               .attempts = 3,
                                               .latency_objective = milliseconds(20'000),
                                               .needs_advice = true,
                                               .advice_base_ms = 200,
                                               .advice_target_ms = 5});
        this->advisor_questions = advisor_question_policy::economical;
        this->add_targets('a', 2);
        this->add_targets('b', 1);
    }

    /// Adds 20 targets with the kind as label, as many as a question names at least.
    void add_targets(char kind, std::int64_t cores)
    {
        for (int number = 10; number < 30; ++number) {
            auto& added = this->targets.add(kind + std::to_string(number), cores * 1000);
            added.task_duration = milliseconds(0);
            added.report.labels.emplace_back(1, kind);
        }
        this->targets.publish_targets();
    }

    process& elect_with_advisor()
    {
        auto& first = this->elect("vm-1");
        for (int number = 0; number < 60; ++number)
            first.active_coordinator->advice_dispatch().add_vm(
                "vm-" + std::to_string(number),
                [this](const advice_question& question, milliseconds, const auto& done) {
                    this->questions.push_back({question, boot_time(), done});
                });
        return first;
    }

    bool run_until(const std::function<bool()>& is_true)
    {
        for (int round = 0; round < 600 && !is_true(); ++round)
            this->run_for(milliseconds(5));
        return is_true();
    }

    bool run_until_asked(std::size_t count)
    {
        return this->run_until([this, count] { return this->questions.size() >= count; });
    }

    bool run_until_running(const std::string& workflow, std::size_t tasks)
    {
        return this->run_until([&] { return this->targets.running(workflow) == tasks; });
    }

    /// Allows all targets of the question with this number.
    void answer(std::size_t number, milliseconds ticket_life = milliseconds(10'000))
    {
        const auto asked = this->questions[number]; // the call may add a question
        advice_answer answer{.answered = true, .valid_ms = ticket_life.count()};
        for (const auto& name : asked.question.targets)
            answer.granted.push_back({name, "ticket"});
        asked.done(answer);
    }

    /// Submits a step that asks about the targets of kind "a", and fills them before the answer.
    process& ask_and_fill(const step_spec& step, const std::string& filling_queue,
                          milliseconds ticket_life = milliseconds(10'000))
    {
        auto& first = this->elect_with_advisor();
        this->submit(first, "step", {step}, "advised");
        EXPECT_TRUE(this->run_until_asked(1));
        auto filling = this->tasks(40, 1);
        filling.required_label = "a";
        this->submit(first, "filling", {filling}, filling_queue);
        EXPECT_TRUE(this->run_until_running("filling", 40));
        this->answer(0, ticket_life);
        return first;
    }

    /// @return time between the last two questions
    [[nodiscard]] milliseconds last_interval() const
    {
        return this->questions.back().at - this->questions[this->questions.size() - 2].at;
    }

    /// Four times the advisor's time for a question about 20 targets.
    static constexpr milliseconds pause{4 * (200 + 20 * 5)};
    std::vector<asked_question> questions;
};

// A step asked about the next few targets whenever others had taken the capacity of those granted.
// An advisor that did not answer has told nothing that a pause could wait for.
TEST_F(coordinator_advice_test, a_step_asks_about_others_after_its_pause_or_a_missed_answer)
{
    auto& first = this->ask_and_fill(this->tasks(3, 1), "urgent");
    ASSERT_TRUE(this->run_until_asked(2));
    EXPECT_GE(this->last_interval(), pause);
    EXPECT_GT(first.metrics.value("advisor_pauses"), 0);
    EXPECT_EQ(first.metrics.value("advisor_ms"), 2 * (200 + 20 * 5 + 1));
    const auto missed = this->questions.back();
    missed.done({});
    ASSERT_TRUE(this->run_until_asked(3));
    EXPECT_LT(this->last_interval(), pause);
    EXPECT_EQ(this->questions.back().question.targets, missed.question.targets);
    this->answer(2);
    EXPECT_TRUE(this->run_until_running("step", 3));
}

// Deployments without the setting are served as before.
TEST_F(coordinator_advice_test, a_step_asks_again_at_once_without_the_setting)
{
    this->advisor_questions = advisor_question_policy::minimal;
    this->ask_and_fill(this->tasks(3, 1), "urgent");
    EXPECT_LT(this->questions.front().question.targets.size(), 10);
    ASSERT_TRUE(this->run_until_asked(2));
    EXPECT_LT(this->last_interval(), pause);
}

// Load pattern: a burst of 30 urgent steps that ask about the same targets, on which a part of them
// fits. Repeated questions of the others about the next few took most of the advisor's time.
TEST_F(coordinator_advice_test, no_step_of_a_burst_repeats_its_question_in_its_pause)
{
    auto& first = this->elect_with_advisor();
    for (int number = 0; number < 30; ++number)
        this->submit(first, "w" + std::to_string(number), {this->tasks(3, 1)}, "advised");
    std::map<std::string, milliseconds> asked_at;
    std::size_t answered = 0;
    ASSERT_TRUE(this->run_until([&] {
        for (; answered < this->questions.size(); ++answered) {
            const auto& asked = this->questions[answered];
            const auto [before, is_first] = asked_at.try_emplace(asked.question.workflow, asked.at);
            EXPECT_TRUE(is_first || asked.at - before->second >= pause) << before->first;
            before->second = asked.at;
            this->answer(answered);
        }
        return this->targets.start_count == 60;
    }));
}

// An urgent step must not wait for the end of its pause while it could preempt.
TEST_F(coordinator_advice_test, an_urgent_step_in_its_pause_preempts_on_targets_that_it_knows)
{
    this->ask_and_fill(this->tasks(3, 1), "slow");
    ASSERT_TRUE(this->run_until_running("step", 3));
    EXPECT_EQ(this->questions.size(), 1);
    EXPECT_EQ(this->targets.running("filling"), 37);
}

// Renewed tickets are for room that is free now; it must not be lost to the pause.
TEST_F(coordinator_advice_test, tickets_are_renewed_during_the_pause)
{
    this->ask_and_fill(this->tasks(3, 1), "urgent", milliseconds(1));
    this->targets.end_all("a10", target_view::ending::done);
    ASSERT_TRUE(this->run_until_asked(2));
    EXPECT_LT(this->last_interval(), pause);
    EXPECT_EQ(this->questions.back().question.targets, std::vector<std::string>{"a10"});
}

// A gang asked about further targets while its own were full, and took the advisor from others.
TEST_F(coordinator_advice_test, a_gang_in_its_pause_is_placed_on_targets_that_it_knows)
{
    this->ask_and_fill(this->tasks(6, 2, true), "urgent");
    this->add_targets('c', 2);
    this->run_for(milliseconds(300));
    for (int number = 10; number < 16; ++number)
        this->targets.end_all("a" + std::to_string(number), target_view::ending::done);
    ASSERT_TRUE(this->run_until_running("step", 6));
    EXPECT_EQ(this->questions.size(), 1);
}

// A pause must not keep a step waiting for targets that are gone.
TEST_F(coordinator_advice_test, a_step_whose_known_targets_leave_asks_at_once)
{
    this->ask_and_fill(this->tasks(3, 1), "urgent");
    this->run_for(milliseconds(250));
    ASSERT_EQ(this->questions.size(), 1);
    for (auto& [name, target] : this->targets.targets)
        target->report.leaving = name.front() == 'a';
    this->targets.publish_targets();
    ASSERT_TRUE(this->run_until_asked(2));
    EXPECT_LT(this->last_interval(), pause);
}

} // namespace
} // namespace verbenalever
