// Questions to the advisor on a busy fleet, with either value of `advisor_questions`.

#include "coordinator/target_session.h"
#include "testing/coordinator_fixture.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

namespace verbenalever {
namespace {

/// Load pattern of all cases: other work takes the capacity of the targets that a step has asked
/// about before it has the answer, while other targets have free capacity.
class coordinator_advice_test : public coordinator_fixture {
protected:
    struct asked_question {
        advice_question question;
        advice_dispatcher::answer_callback done;
    };

    coordinator_advice_test()
    {
        this->configuration->queues.push_back({.name = "advised",
                                               .pool = "pool",
                                               .priority = 0,
                                               .attempts = 3,
                                               .latency_objective = milliseconds(20'000),
                                               .needs_advice = true,
                                               .advice_base_ms = 200,
                                               .advice_target_ms = 5});
        this->add_targets('a', 2);
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
        for (int number = 0; number < 6; ++number)
            first.active_coordinator->advice_dispatch().add_vm(
                "vm-" + std::to_string(number),
                [this](const advice_question& question, milliseconds,
                       advice_dispatcher::answer_callback done) {
                    this->questions.push_back({question, std::move(done)});
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

    /// Allows all targets of the last question.
    void answer(milliseconds ticket_life = milliseconds(10'000))
    {
        advice_answer answer{.answered = true, .valid_ms = ticket_life.count()};
        for (const auto& name : this->questions.back().question.targets)
            answer.granted.push_back({name, "ticket"});
        const auto done = this->questions.back().done; // the call may add a question
        done(answer);
    }

    /// Submits a step that asks about the targets of kind "a", and fills them before the answer.
    void ask_and_fill(process& to, const step_spec& step, const std::string& filling_queue,
                      milliseconds ticket_life = milliseconds(10'000))
    {
        this->submit(to, "step", {step}, "advised");
        ASSERT_TRUE(this->run_until_asked(1));
        auto filling = this->tasks(40, 1);
        filling.required_label = "a";
        this->submit(to, "filling", {filling}, filling_queue);
        ASSERT_TRUE(this->run_until([this] { return this->targets.running("filling") == 40; }));
        this->answer(ticket_life);
    }

    /// @return whether all targets of the last question are of the kind
    [[nodiscard]] bool asked_only_about(char kind) const
    {
        return std::ranges::all_of(this->questions.back().question.targets,
                                   [kind](const auto& name) { return name.front() == kind; });
    }

    std::vector<asked_question> questions;
};

// A step asked about the next few targets whenever others had taken the capacity of those granted,
// and each question took the advisor's base time.
TEST_F(coordinator_advice_test, a_question_names_targets_for_half_of_its_base_time)
{
    this->advisor_questions = advisor_question_policy::economical;
    this->add_targets('b', 1);
    auto& first = this->elect_with_advisor();
    this->ask_and_fill(first, this->tasks(3, 1), "urgent");
    EXPECT_EQ(this->questions.front().question.targets.size(), 20);
    ASSERT_TRUE(this->run_until_asked(2));
    EXPECT_EQ(this->questions.back().question.targets.size(), 20);
    EXPECT_TRUE(this->asked_only_about('b'));
    this->answer();
    EXPECT_TRUE(this->run_until([this] { return this->targets.running("step") == 3; }));
    EXPECT_EQ(first.metrics.value("advisor_questions"), 2);
    EXPECT_EQ(first.metrics.value("advisor_ms"), 2 * (200 + 20 * 5 + 1));
}

// Renewed tickets are for room that is free now; more names would delay the answer.
TEST_F(coordinator_advice_test, a_renewal_names_only_the_targets_that_it_needs)
{
    this->advisor_questions = advisor_question_policy::economical;
    auto& first = this->elect_with_advisor();
    this->ask_and_fill(first, this->tasks(3, 1), "urgent", milliseconds(1));
    this->add_targets('b', 1);
    for (const auto* name : {"a10", "a11", "a12"})
        this->targets.end_all(name, target_view::ending::done);
    ASSERT_TRUE(this->run_until_asked(2));
    EXPECT_LE(this->questions.back().question.targets.size(), 3);
    EXPECT_TRUE(this->asked_only_about('a'));
}

// Deployments without the setting are served as before.
TEST_F(coordinator_advice_test, a_question_names_few_targets_without_the_setting)
{
    this->add_targets('b', 1);
    auto& first = this->elect_with_advisor();
    this->ask_and_fill(first, this->tasks(3, 1), "urgent");
    EXPECT_LT(this->questions.front().question.targets.size(), 10);
    ASSERT_TRUE(this->run_until_asked(2));
    EXPECT_LT(this->questions.back().question.targets.size(), 10);
}

} // namespace
} // namespace verbenalever
