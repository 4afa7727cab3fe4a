#include "coordinator/step_time_tracker.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <vector>

namespace verbenalever {
namespace {

using state = step_time_tracker::state;

TEST(step_time_tracker, time_is_added_to_the_state_that_is_left)
{
    step_time_tracker tracker;
    tracker.enter(state::queued, milliseconds(100));
    tracker.enter(state::advice, milliseconds(130));
    tracker.enter(state::run, milliseconds(900));
    tracker.enter(state::idle, milliseconds(2900));
    EXPECT_EQ(tracker.time_in(state::queued), milliseconds(30));
    EXPECT_EQ(tracker.time_in(state::advice), milliseconds(770));
    EXPECT_EQ(tracker.time_in(state::run), milliseconds(2000));
}

TEST(step_time_tracker, runs_after_a_lost_run_count_as_run_again)
{
    step_time_tracker tracker;
    tracker.enter(state::run, milliseconds(0));
    tracker.mark_run_unsuccessful();
    tracker.enter(state::queued, milliseconds(500));
    tracker.enter(state::run, milliseconds(600));
    tracker.enter(state::idle, milliseconds(1600));
    EXPECT_EQ(tracker.time_in(state::run), milliseconds(500));
    EXPECT_EQ(tracker.time_in(state::run_again), milliseconds(1000));
}

RC_GTEST_PROP(step_time_tracker, times_of_all_states_add_up_to_the_total, ())
{
    const auto transitions = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, static_cast<int>(step_time_tracker::state_count)),
                      rc::gen::inRange(0, 10'000)));
    step_time_tracker tracker;
    milliseconds now{0};
    for (const auto& [next, wait] : transitions) {
        now += milliseconds(wait);
        tracker.enter(static_cast<state>(next), now);
    }
    milliseconds sum{0};
    for (std::size_t state_index = 0; state_index < step_time_tracker::state_count; ++state_index)
        sum += tracker.time_in(static_cast<state>(state_index));
    RC_ASSERT(sum == now);
}

} // namespace
} // namespace verbenalever
