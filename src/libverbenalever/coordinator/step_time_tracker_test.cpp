#include "coordinator/step_time_tracker.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace verbenalever {
namespace {

using state = step_time_tracker::state;

TEST(step_time_tracker, time_goes_to_the_state_that_is_left)
{
    step_time_tracker clock;
    clock.enter(state::queued, milliseconds(100));
    clock.enter(state::advice, milliseconds(130));
    clock.enter(state::run, milliseconds(900));
    clock.enter(state::idle, milliseconds(2900));
    EXPECT_EQ(clock.time_in(state::queued), milliseconds(30));
    EXPECT_EQ(clock.time_in(state::advice), milliseconds(770));
    EXPECT_EQ(clock.time_in(state::run), milliseconds(2000));
}

TEST(step_time_tracker, runs_after_one_that_was_for_nothing_count_apart)
{
    step_time_tracker clock;
    clock.enter(state::run, milliseconds(0));
    clock.mark_repeated();
    clock.enter(state::queued, milliseconds(500));
    clock.enter(state::run, milliseconds(600));
    clock.enter(state::idle, milliseconds(1600));
    EXPECT_EQ(clock.time_in(state::run), milliseconds(500));
    EXPECT_EQ(clock.time_in(state::run_again), milliseconds(1000));
}

RC_GTEST_PROP(step_time_tracker, times_add_up_to_the_whole, ())
{
    const auto moves = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, static_cast<int>(step_time_tracker::state_count)),
                      rc::gen::inRange(0, 10'000)));
    step_time_tracker clock;
    milliseconds now{0};
    for (const auto& [next, wait] : moves) {
        now += milliseconds(wait);
        clock.enter(static_cast<state>(next), now);
    }
    milliseconds sum{0};
    for (std::size_t which = 0; which < step_time_tracker::state_count; ++which)
        sum += clock.time_in(static_cast<state>(which));
    RC_ASSERT(sum == now);
}

} // namespace
} // namespace verbenalever
