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
            this->asked[question.workflow] = vm;
            this->open.push_back(std::move(done));
        });
    }

    bool ask(const std::string& workflow, milliseconds cost)
    {
        return this->desk.ask({.workflow = workflow}, cost, [](const advice_answer&) {});
    }

    advice_dispatcher desk;
    std::map<std::string, std::string> asked;
    std::vector<advice_dispatcher::answer_callback> open;
};

// Load pattern: large gangs and urgent jobs ask at the same time.
TEST_F(advice_dispatcher_test, a_short_question_never_stands_behind_long_ones)
{
    for (const auto* vm : {"a", "b", "c", "d"})
        this->add(vm);
    int taken = 0;
    for (int gang = 0; gang < 10; ++gang)
        taken += this->ask("gang" + std::to_string(gang), milliseconds(800)) ? 1 : 0;
    EXPECT_EQ(taken, 3);
    EXPECT_TRUE(this->ask("quote", milliseconds(9)));
    EXPECT_EQ(this->asked["quote"], "d");
}

// Load pattern: a large site, where short questions keep a few of many VMs busy.
TEST_F(advice_dispatcher_test, vms_that_short_questions_do_not_need_take_long_ones)
{
    constexpr int vms = 100;
    for (int vm = 0; vm < vms; ++vm)
        this->add("vm-" + std::to_string(vm));
    // Three VMs' time of short questions within the time over which they are averaged.
    for (int quote = 0; quote < 300; ++quote) {
        ASSERT_TRUE(this->ask("quote", milliseconds(20)));
        this->open.back()({});
    }
    int taken = 0;
    for (int gang = 0; gang < vms; ++gang)
        taken += this->ask("gang", milliseconds(1000)) ? 1 : 0;
    EXPECT_GE(taken, 55);
    EXPECT_LE(taken, vms - 12) << "four times the three that they keep busy are left to them";
}

TEST_F(advice_dispatcher_test, without_short_questions_long_ones_leave_two_vms)
{
    for (int vm = 0; vm < 20; ++vm)
        this->add("vm-" + std::to_string(vm));
    int taken = 0;
    for (int gang = 0; gang < 20; ++gang)
        taken += this->ask("gang", milliseconds(1000)) ? 1 : 0;
    EXPECT_EQ(taken, 18);
    EXPECT_TRUE(this->ask("quote", milliseconds(9)));
}

TEST_F(advice_dispatcher_test, questions_beyond_what_is_next_wait_with_the_asker)
{
    this->add("a");
    EXPECT_TRUE(this->ask("1", milliseconds(30)));
    EXPECT_TRUE(this->ask("2", milliseconds(30)));
    EXPECT_FALSE(this->ask("3", milliseconds(30)));
    this->open[0]({});
    this->open[1]({});
    EXPECT_TRUE(this->ask("3", milliseconds(30)));
}

TEST_F(advice_dispatcher_test, without_a_vm_nothing_is_taken)
{
    EXPECT_FALSE(this->ask("1", milliseconds(5)));
    this->add("a");
    this->desk.remove_vm("a");
    EXPECT_FALSE(this->ask("1", milliseconds(5)));
}

} // namespace
} // namespace verbenalever
