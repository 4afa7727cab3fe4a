#include "scheduling/usage_history.h"

#include <gtest/gtest.h>

#include <fmt/format.h>

#include <string>
#include <vector>

namespace verbenalever {
namespace {

using weights = std::vector<usage_history::team_weight>;

constexpr milliseconds half_life{600'000};
constexpr milliseconds objective{10'000};

/// Let the team use @p cores for a minute.
void use(usage_history& history, std::string_view team, std::int64_t cores)
{
    history.add_run(team, cores * 1000, milliseconds(0));
    history.remove_run(team, cores * 1000, milliseconds(60'000));
}

double used(const usage_history& history, std::string_view team)
{
    for (const auto& one : history.largest(1000)) {
        if (one.team == team)
            return one.core_seconds;
    }
    return -1;
}

// Accounting in many small steps must not differ from that in one.
TEST(usage_history_test, use_halves_in_the_half_life_however_often_it_is_updated)
{
    usage_history once(half_life);
    usage_history often(half_life);
    for (auto* history : {&once, &often})
        use(*history, "a", 10);
    EXPECT_NEAR(used(once, "a"), 600, 600 * 0.04); // a minute is a tenth of the half-life
    for (milliseconds now{60'000}; now <= half_life; now += milliseconds(5000))
        often.update_shifts({}, now);
    once.update_shifts({}, milliseconds(60'000) + half_life);
    often.update_shifts({}, milliseconds(60'000) + half_life);
    EXPECT_NEAR(used(once, "a"), 300, 300 * 0.04);
    EXPECT_NEAR(used(once, "a"), used(often, "a"), 1e-6);
}

TEST(usage_history_test, shift_is_zero_in_the_dead_zone_grows_above_it_and_is_bounded)
{
    const weights teams{{"heavy", 1}, {"b", 1}, {"c", 1}, {"d", 1}, {"e", 1}, {"f", 1}};
    milliseconds last{0};
    for (const std::int64_t cores : {7, 15, 40, 1000}) { // 1.3, 2.3, 3.7 and 5.9 times the mean
        usage_history history(half_life);
        use(history, "heavy", cores);
        for (const auto* team : {"b", "c", "d", "e", "f"})
            use(history, team, 5);
        history.update_shifts(teams, milliseconds(60'000));
        const auto shift = history.due_shift("heavy", objective);
        EXPECT_EQ(shift == milliseconds(0), cores == 7) << shift.count();
        EXPECT_EQ(shift == objective / 2, cores >= 40) << shift.count();
        EXPECT_GE(shift, last);
        last = shift;
        EXPECT_EQ(history.shifted_teams(), cores == 7 ? 0U : 1U);
        EXPECT_EQ(history.due_shift("b", objective), milliseconds(0));
        EXPECT_EQ(history.largest(2).front().team, "heavy");
    }
}

TEST(usage_history_test, use_is_divided_by_the_weight)
{
    usage_history history(half_life);
    use(history, "a", 90);
    use(history, "b", 10);
    history.update_shifts(weights{{"a", 9}, {"b", 1}}, milliseconds(60'000));
    EXPECT_EQ(history.shifted_teams(), 0U);
    history.update_shifts(weights{{"a", 1}, {"b", 1}}, milliseconds(60'000));
    EXPECT_GT(history.due_shift("a", objective), milliseconds(0));
    history.update_shifts(weights{{"a", 0}, {"b", 0}}, milliseconds(60'000));
    EXPECT_EQ(history.shifted_teams(), 0U);
}

TEST(usage_history_test, absent_team_is_forgotten_once_its_use_has_decayed)
{
    usage_history history(half_life);
    use(history, "gone", 10);
    history.update_shifts({}, milliseconds(60'000));
    EXPECT_GT(used(history, "gone"), 500);
    history.update_shifts({}, half_life * 12);
    EXPECT_LT(used(history, "gone"), 0);
}

TEST(usage_history_test, another_process_goes_on_from_the_encoded_use)
{
    usage_history first(half_life);
    EXPECT_FALSE(first.changed());
    use(first, "a", 10);
    EXPECT_TRUE(first.changed());
    const auto text = first.encode(milliseconds(60'000), 1'000'000);
    EXPECT_FALSE(first.changed());
    usage_history second(half_life);
    second.add_run("a", 1000, milliseconds(0));
    // Its boot time differs; half a life has passed since.
    ASSERT_TRUE(second.restore(text, milliseconds(0), 1'000'000 + half_life.count()).ok());
    second.update_shifts(weights{{"a", 1}}, milliseconds(0));
    EXPECT_NEAR(used(second, "a"), used(first, "a") / 2, 0.01);
    // A writer whose clock was ahead must not make the use grow.
    usage_history third(half_life);
    ASSERT_TRUE(third.restore(text, milliseconds(0), 0).ok());
    EXPECT_NEAR(used(third, "a"), used(first, "a"), 0.01);
}

TEST(usage_history_test, unreadable_or_senseless_values_add_nothing)
{
    usage_history history(half_life);
    usage_history negative(half_life);
    use(negative, "a", -5);
    for (const auto& text :
         {std::string(), std::string("\xc1"), negative.encode(milliseconds(60'000), 0)})
        EXPECT_FALSE(history.restore(text, milliseconds(0), 0).ok());
    EXPECT_TRUE(history.largest(1).empty());
}

TEST(usage_history_test, encoded_use_of_800_teams_is_under_64_kb)
{
    usage_history history(half_life);
    for (int number = 0; number < 800; ++number)
        use(history, fmt::format("{:0>64}", number), 100);
    EXPECT_LT(history.encode(milliseconds(60'000), 1'800'000'000'000).size(), 64U * 1024);
}

} // namespace
} // namespace verbenalever
