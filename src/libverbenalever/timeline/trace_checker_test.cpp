#include "timeline/trace_checker.h"

#include <gtest/gtest.h>

namespace {

using verbenalever::trace_checker;
using verbenalever::trace_event;
using verbenalever::trace_rules;

trace_event make_event(std::int64_t at_us, const char* process, const char* name,
                       nlohmann::json fields)
{
    return {.mono_us = at_us,
            .process = process,
            .slice = "target",
            .event = name,
            .fields = std::move(fields)};
}

trace_event target_started(const char* process)
{
    return make_event(0, process, "started",
                      {{"slots", 1}, {"memory_mb", 100}, {"availability_zone", "zone-a"}});
}

trace_event task_running(std::int64_t at_us, const char* process, const char* task)
{
    return make_event(at_us, process, "task_running",
                      {{"task", task}, {"team", "red"}, {"slots", 1}});
}

std::size_t count_violations(const std::vector<trace_event>& events, const trace_rules& rules = {})
{
    return trace_checker(rules).check(events).size();
}

TEST(trace_checker, accepts_one_task_after_another)
{
    EXPECT_EQ(count_violations({target_started("t1"), task_running(1, "t1", "a"),
                                make_event(2, "t1", "task_ended", {{"task", "a"}}),
                                task_running(3, "t1", "b")}),
              0U);
}

TEST(trace_checker, finds_usage_above_capacity)
{
    EXPECT_EQ(count_violations(
                  {target_started("t1"), task_running(1, "t1", "a"), task_running(2, "t1", "b")}),
              1U);
}

TEST(trace_checker, finds_a_task_on_two_targets)
{
    EXPECT_EQ(count_violations({target_started("t1"), target_started("t2"),
                                task_running(1, "t1", "a"), task_running(2, "t2", "a")}),
              1U);
}

TEST(trace_checker, lets_a_task_of_a_killed_target_run_elsewhere)
{
    EXPECT_EQ(
        count_violations({target_started("t1"), target_started("t2"), task_running(1, "t1", "a"),
                          make_event(2, "t1", "killed", {}), task_running(3, "t2", "a")}),
        0U);
}

TEST(trace_checker, finds_a_second_run_under_the_same_callers_id)
{
    const nlohmann::json first = {{"request", "r1"}, {"caller_id", "c"}, {"team", "red"}};
    const nlohmann::json second = {{"request", "r2"}, {"caller_id", "c"}, {"team", "red"}};
    EXPECT_EQ(count_violations({target_started("t1"), target_started("t2"),
                                make_event(1, "e1", "request_taken", first),
                                make_event(2, "t1", "request_running", {{"request", "r1"}}),
                                make_event(3, "e2", "request_taken", second),
                                make_event(4, "t2", "request_running", {{"request", "r2"}})}),
              1U);
}

TEST(trace_checker, finds_a_run_of_a_request_that_was_reported_not_run)
{
    EXPECT_EQ(count_violations({target_started("t1"),
                                make_event(1, "t1", "request_running", {{"request", "r1"}}),
                                make_event(2, "e1", "request_not_run", {{"request", "r1"}})}),
              1U);
}

TEST(trace_checker, finds_starts_after_the_grace_on_leaving_targets_and_in_zones_out)
{
    constexpr std::int64_t late_us = 6'000'000;
    EXPECT_EQ(count_violations(
                  {target_started("t1"),
                   make_event(1, "platform", "vm_state", {{"vm", "t1"}, {"state", "leaving"}}),
                   task_running(late_us, "t1", "a")}),
              1U);
    EXPECT_EQ(count_violations({target_started("t1"),
                                make_event(1, "e1", "availability_zone_state",
                                           {{"availability_zone", "zone-a"}, {"state", "out"}}),
                                task_running(late_us, "t1", "a")}),
              1U);
}

TEST(trace_checker, finds_a_team_above_its_limit)
{
    EXPECT_EQ(count_violations({target_started("t1"), target_started("t2"),
                                task_running(1, "t1", "a"), task_running(2, "t2", "b")},
                               {.slot_limits = {{"red", 1}}}),
              1U);
}

} // namespace
