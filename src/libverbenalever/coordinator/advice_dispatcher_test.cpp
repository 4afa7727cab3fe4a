#include "coordinator/advice_dispatcher.h"

#include <gtest/gtest.h>

#include <map>

namespace verbenalever {
namespace {

class advice_dispatcher_test : public testing::Test {
protected:
    void add(const std::string& vm)
    {
        this->desk.add_vm(vm, [this, vm](const advice_question& question, milliseconds,
                                         advice_dispatcher::answer_callback done) {
            this->vm_by_workflow[question.workflow] = vm;
            this->pending_answers.push_back(std::move(done));
        });
    }

    bool ask(const std::string& workflow, milliseconds cost, bool urgent = true)
    {
        return this->desk.ask({.workflow = workflow}, cost, urgent, [](const advice_answer&) {});
    }

    advice_dispatcher desk;
    std::map<std::string, std::string> vm_by_workflow;
    std::vector<advice_dispatcher::answer_callback> pending_answers;
};

// Load pattern: large gangs and urgent jobs ask at the same time. Each gang's question takes most
// of a second at its VM.
TEST_F(advice_dispatcher_test, short_questions_do_not_wait_behind_long_ones)
{
    for (const auto* vm : {"a", "b", "c", "d"})
        this->add(vm);
    int accepted = 0;
    for (int gang = 0; gang < 10; ++gang)
        accepted += this->ask("gang" + std::to_string(gang), milliseconds(800)) ? 1 : 0;
    EXPECT_EQ(accepted, 3);
    EXPECT_TRUE(this->ask("quote", milliseconds(9)));
    EXPECT_EQ(this->vm_by_workflow["quote"], "d");
}

// Load pattern: a large site, where short questions keep only a few of many VMs busy.
TEST_F(advice_dispatcher_test, vms_not_needed_for_short_questions_serve_long_ones)
{
    constexpr int vms = 100;
    for (int vm = 0; vm < vms; ++vm)
        this->add("vm-" + std::to_string(vm));
    // 300 questions of 20 ms within the averaging time of 2 s keep three VMs busy on average.
    for (int quote = 0; quote < 300; ++quote) {
        ASSERT_TRUE(this->ask("quote", milliseconds(20)));
        this->pending_answers.back()({});
    }
    int accepted = 0;
    for (int gang = 0; gang < vms; ++gang)
        accepted += this->ask("gang", milliseconds(1000)) ? 1 : 0;
    EXPECT_GE(accepted, 55);
    EXPECT_LE(accepted, vms - 12)
        << "four times the three busy VMs are reserved for short questions";
}

// Load pattern: a burst of batch work, whose questions count as short but take 180 ms, beside
// urgent work. Urgent questions used to find all VMs busy with them.
TEST_F(advice_dispatcher_test, questions_of_batch_work_leave_vms_for_urgent_work)
{
    constexpr int vms = 20;
    for (int vm = 0; vm < vms; ++vm)
        this->add("vm-" + std::to_string(vm));
    // 500 questions of 12 ms within the averaging time of 2 s keep three VMs busy on average.
    for (int quote = 0; quote < 500; ++quote) {
        ASSERT_TRUE(this->ask("quote", milliseconds(12)));
        this->pending_answers.back()({});
    }
    int accepted = 0;
    for (int batch = 0; batch < vms; ++batch)
        accepted += this->ask("batch", milliseconds(180), false) ? 1 : 0;
    EXPECT_GE(accepted, vms - 6)
        << "no more than twice the three busy VMs are kept for urgent work";
    for (int quote = 0; quote < 4; ++quote)
        EXPECT_TRUE(this->ask("quote", milliseconds(12)));
}

TEST_F(advice_dispatcher_test, two_vms_stay_reserved_without_short_questions)
{
    for (int vm = 0; vm < 20; ++vm)
        this->add("vm-" + std::to_string(vm));
    int accepted = 0;
    for (int gang = 0; gang < 20; ++gang)
        accepted += this->ask("gang", milliseconds(1000)) ? 1 : 0;
    EXPECT_EQ(accepted, 18);
    EXPECT_TRUE(this->ask("quote", milliseconds(9)));
}

TEST_F(advice_dispatcher_test, questions_are_refused_while_the_queue_of_the_vm_is_full)
{
    this->add("a");
    EXPECT_TRUE(this->ask("1", milliseconds(30)));
    EXPECT_TRUE(this->ask("2", milliseconds(30)));
    EXPECT_FALSE(this->ask("3", milliseconds(30)));
    this->pending_answers[0]({});
    this->pending_answers[1]({});
    EXPECT_TRUE(this->ask("3", milliseconds(30)));
}

TEST_F(advice_dispatcher_test, questions_are_refused_without_a_vm)
{
    EXPECT_FALSE(this->ask("1", milliseconds(5)));
    this->add("a");
    this->desk.remove_vm("a");
    EXPECT_FALSE(this->ask("1", milliseconds(5)));
}

} // namespace
} // namespace verbenalever
