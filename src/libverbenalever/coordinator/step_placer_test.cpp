#include "coordinator/step_placer.h"

#include "coordinator/fleet_target.h"
#include "coordinator/target_session.h"

#include <gtest/gtest.h>

#include <memory>
#include <set>

namespace verbenalever {
namespace {

using permission = step_candidate::permission;

class step_placer_test : public testing::Test {
protected:
    void add(std::int64_t cores, permission may_run)
    {
        target_report report;
        report.name = "t" + std::to_string(this->targets.size());
        report.capacity = {.processors_milli = cores * 1000, .memory_mb = 64'000};
        this->targets.push_back(std::make_unique<fleet_target>(report));
        auto* target = this->targets.back().get();
        this->candidates.push_back({target, may_run, target->count_fitting(this->need),
                                    target->free_resources().processors_milli});
    }

    [[nodiscard]] step_placer placer() const
    {
        return {this->candidates, this->need};
    }

    resources need{.processors_milli = 4000, .memory_mb = 1000};
    std::vector<std::unique_ptr<fleet_target>> targets;
    std::vector<step_candidate> candidates;
};

TEST_F(step_placer_test, small_gaps_are_filled_first)
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
    this->add(16, permission::lapsed);
    EXPECT_TRUE(this->placer().place(1, false).empty());
    EXPECT_EQ(this->placer().place_renewing(4).size(), 4);
    EXPECT_TRUE(this->placer().place_renewing(5).empty());
}

TEST_F(step_placer_test, a_gang_that_cannot_fit_does_not_bother_the_advisor)
{
    for (int count = 0; count < 4; ++count)
        this->add(4, permission::not_asked);
    EXPECT_TRUE(this->placer().to_ask(4, true, 0.3).empty());
    EXPECT_FALSE(this->placer().to_ask(1, true, 0.3).empty());
    EXPECT_FALSE(this->placer().to_ask(4, false, 0.3).empty());
}

// Load pattern: a wave of large gangs. One whose places were not to be had from one question was
// never asked about and never ran, on an empty fleet.
TEST_F(step_placer_test, a_gang_too_large_for_one_question_is_asked_about_in_several)
{
    constexpr int fleet = 150;
    constexpr std::uint32_t gang = 37;
    for (int count = 0; count < fleet; ++count)
        this->add(4, permission::not_asked);
    std::set<fleet_target*> asked;
    for (int question = 0; question < 3; ++question) {
        for (auto* target : this->placer().to_ask(gang, true, 0.3)) {
            asked.insert(target);
            for (auto& candidate : this->candidates) {
                // The advisor allows every fourth; those it forbids are no candidates any more.
                if (candidate.target == target && asked.size() % 4 == 0)
                    candidate.may_run = permission::lapsed;
            }
        }
        std::erase_if(this->candidates, [&](const auto& candidate) {
            return candidate.may_run == permission::not_asked && asked.contains(candidate.target);
        });
    }
    EXPECT_EQ(asked.size(), fleet);
}

TEST_F(step_placer_test, more_are_asked_about_where_fewer_are_allowed)
{
    for (int count = 0; count < 40; ++count)
        this->add(4, permission::not_asked);
    const auto strict = this->placer().to_ask(4, false, 0.3).size();
    const auto generous = this->placer().to_ask(4, false, 0.9).size();
    EXPECT_GT(strict, generous);
    EXPECT_LE(strict, 40);
}

} // namespace
} // namespace verbenalever
