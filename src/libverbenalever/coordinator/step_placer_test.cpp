#include "coordinator/step_placer.h"

#include "coordinator/fleet_target.h"
#include "coordinator/free_capacity_index.h"
#include "coordinator/target_session.h"

#include <gtest/gtest.h>

#include <memory>
#include <set>

namespace verbenalever {
namespace {

using permission = step_candidate::advice_permission;

class step_placer_test : public testing::Test {
protected:
    void add(std::int64_t cores, permission advice_state)
    {
        target_report report;
        report.name = "t" + std::to_string(this->targets.size());
        report.capacity = {.processors_milli = cores * 1000, .memory_mb = 64'000};
        this->targets.push_back(
            std::make_unique<fleet_target>(report, this->targets.size() + 1, this->free_targets));
        auto* target = this->targets.back().get();
        this->candidates.push_back({target, advice_state, target->count_fitting(this->need),
                                    target->free_resources().processors_milli});
    }

    [[nodiscard]] step_placer placer() const
    {
        return {this->candidates, this->need};
    }

    resources need{.processors_milli = 4000, .memory_mb = 1000};
    free_capacity_index free_targets;
    std::vector<std::unique_ptr<fleet_target>> targets;
    std::vector<step_candidate> candidates;
};

TEST_F(step_placer_test, target_with_least_free_capacity_is_used_first)
{
    this->add(16, permission::allowed);
    this->add(5, permission::allowed);
    const auto chosen = this->placer().place(1, false);
    ASSERT_EQ(chosen.size(), 1);
    EXPECT_EQ(chosen[0], this->targets[1].get());
}

// Load pattern: a wave of large gangs.
TEST_F(step_placer_test, a_gang_is_placed_whole_or_not_at_all)
{
    this->add(8, permission::allowed);
    this->add(8, permission::allowed);
    EXPECT_EQ(this->placer().place(4, true).size(), 4);
    EXPECT_TRUE(this->placer().place(5, true).empty());
    EXPECT_EQ(this->placer().place(5, false).size(), 4);
}

TEST_F(step_placer_test, only_targets_the_advisor_allows_are_used)
{
    this->add(16, permission::not_asked);
    this->add(16, permission::ticket_expired);
    EXPECT_TRUE(this->placer().place(1, false).empty());
    EXPECT_EQ(this->placer().place_with_renewal(4).size(), 4);
    EXPECT_TRUE(this->placer().place_with_renewal(5).empty());
}

TEST_F(step_placer_test, no_question_for_a_gang_that_cannot_fit)
{
    for (int count = 0; count < 4; ++count)
        this->add(4, permission::not_asked);
    EXPECT_TRUE(this->placer().select_targets_to_ask(4, true, 0.3).empty());
    EXPECT_FALSE(this->placer().select_targets_to_ask(1, true, 0.3).empty());
    EXPECT_FALSE(this->placer().select_targets_to_ask(4, false, 0.3).empty());
}

// Load pattern: a wave of large gangs. A gang that needs more targets than one question allows must
// ask about all of them over several rounds; otherwise it never starts, even on an empty fleet.
TEST_F(step_placer_test, a_gang_too_large_for_one_question_asks_several)
{
    constexpr int fleet = 150;
    constexpr std::uint32_t gang = 37;
    for (int count = 0; count < fleet; ++count)
        this->add(4, permission::not_asked);
    std::set<fleet_target*> asked_targets;
    for (int round = 0; round < 3; ++round) {
        for (auto* target : this->placer().select_targets_to_ask(gang, true, 0.3)) {
            asked_targets.insert(target);
            for (auto& candidate : this->candidates) {
                // The advisor allows every fourth target; denied ones are removed below.
                if (candidate.target == target && asked_targets.size() % 4 == 0)
                    candidate.advice_state = permission::ticket_expired;
            }
        }
        std::erase_if(this->candidates, [&](const auto& candidate) {
            return candidate.advice_state == permission::not_asked &&
                   asked_targets.contains(candidate.target);
        });
    }
    EXPECT_EQ(asked_targets.size(), fleet);
}

// A question about few targets takes most of its time for the advisor's base time.
TEST_F(step_placer_test, a_question_names_the_least_number_of_targets_that_exist)
{
    for (int count = 0; count < 30; ++count)
        this->add(4, permission::not_asked);
    EXPECT_EQ(this->placer().select_targets_to_ask(3, false, 0.7, 20).size(), 20);
    EXPECT_EQ(this->placer().select_targets_to_ask(3, false, 0.7, 40).size(), 30);
    // More names would delay the renewal of tickets for which there is room.
    for (int count = 0; count < 5; ++count)
        this->add(4, permission::ticket_expired);
    EXPECT_EQ(this->placer().select_targets_to_ask(3, false, 0.7, 20).size(), 5);
    EXPECT_EQ(this->placer().select_targets_to_ask(4, false, 0.7, 20).size(), 20);
}

TEST_F(step_placer_test, a_lower_grant_rate_asks_about_more_targets)
{
    for (int count = 0; count < 40; ++count)
        this->add(4, permission::not_asked);
    const auto few_allowed = this->placer().select_targets_to_ask(4, false, 0.3).size();
    const auto many_allowed = this->placer().select_targets_to_ask(4, false, 0.9).size();
    EXPECT_GT(few_allowed, many_allowed);
    EXPECT_LE(few_allowed, 40);
}

} // namespace
} // namespace verbenalever
