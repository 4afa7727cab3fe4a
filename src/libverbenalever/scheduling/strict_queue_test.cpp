#include "scheduling/strict_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <vector>

namespace {

using verbenalever::milliseconds;
using verbenalever::monotonic_time;
using verbenalever::queued_work;
using verbenalever::strict_queue;

constexpr monotonic_time start_time{std::chrono::hours(1)};
constexpr milliseconds aging_interval{1000};

strict_queue make_queue()
{
    return strict_queue({{"0", {.priority = 0, .aging_interval = aging_interval}},
                         {"1", {.priority = 1, .aging_interval = aging_interval}},
                         {"2", {.priority = 2, .aging_interval = aging_interval}}});
}

queued_work make_work(std::uint64_t id, int priority, monotonic_time arrival)
{
    return {.id = id,
            .queue = std::to_string(priority),
            .team = "red",
            .arrival = arrival,
            .deadline = arrival + std::chrono::hours(1),
            .demand = {.slots = 1}};
}

bool accept_all(const queued_work&)
{
    return true;
}

RC_GTEST_PROP(strict_queue, starts_work_in_order_of_priority_while_none_has_aged, ())
{
    auto queue = make_queue();
    const auto priorities = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3));
    std::uint64_t id = 0;
    for (const int priority : priorities)
        queue.push(make_work(id++, priority, start_time));
    std::pair<std::string, std::uint64_t> last{"0", 0};
    while (const auto work = queue.pop_next(accept_all, start_time)) {
        const std::pair<std::string, std::uint64_t> now{work->queue, work->id};
        RC_ASSERT(last <= now);
        last = now;
    }
}

// Work of the first priority arrives before each start, so that without aging no other work would
// ever start.
RC_GTEST_PROP(strict_queue, starts_lower_priorities_within_a_bounded_number_of_starts, ())
{
    auto queue = make_queue();
    const auto low_priority_count = *rc::gen::inRange<std::uint64_t>(1, 20);
    for (std::uint64_t id = 0; id < low_priority_count; ++id)
        queue.push(make_work(id, 1 + static_cast<int>(id % 2), start_time));
    std::uint64_t id = 1000;
    std::uint64_t low_priority_started = 0;
    auto now = start_time + aging_interval;
    const auto max_starts =
        (low_priority_count + 1) * verbenalever::aged_work_quota::slots_per_charged_slot;
    for (std::uint64_t starts = 0; starts < max_starts; ++starts) {
        queue.push(make_work(id++, 0, now));
        now += milliseconds(1);
        low_priority_started += queue.pop_next(accept_all, now)->queue != "0" ? 1 : 0;
    }
    RC_ASSERT(low_priority_started == low_priority_count);
}

TEST(strict_queue, aged_work_holds_at_most_one_slot_in_eight)
{
    auto queue = make_queue();
    constexpr std::uint64_t count_each = 4000;
    for (std::uint64_t i = 0; i < count_each; ++i) {
        queue.push(make_work(i, 2, start_time));
        queue.push(make_work(count_each + i, 0, start_time + aging_interval));
    }
    std::map<std::string, int> started;
    for (int i = 0; i < 800; ++i)
        ++started[queue.pop_next(accept_all, start_time + aging_interval + milliseconds(1))->queue];
    EXPECT_EQ(started["2"], 100);
    EXPECT_EQ(started["0"], 700);
}

} // namespace
