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

constexpr monotonic_time begin{std::chrono::hours(1)};
constexpr milliseconds aging{1000};

strict_queue make_queue()
{
    return strict_queue({{"0", {.priority = 0, .aging = aging}},
                         {"1", {.priority = 1, .aging = aging}},
                         {"2", {.priority = 2, .aging = aging}}});
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

RC_GTEST_PROP(strict_queue, keeps_the_order_of_priorities_while_nothing_has_aged, ())
{
    auto queue = make_queue();
    const auto priorities = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 3));
    std::uint64_t id = 0;
    for (const int priority : priorities)
        queue.push(make_work(id++, priority, begin));
    std::pair<std::string, std::uint64_t> last{"0", 0};
    while (const auto work = queue.pop_next(accept_all, begin)) {
        const std::pair<std::string, std::uint64_t> now{work->queue, work->id};
        RC_ASSERT(last <= now);
        last = now;
    }
}

// Each start meets a fresh arrival of the first priority, so that without aging nothing else would
// ever start.
RC_GTEST_PROP(strict_queue, starts_the_last_within_a_bounded_number_of_starts, ())
{
    auto queue = make_queue();
    const auto low = *rc::gen::inRange<std::uint64_t>(1, 20);
    for (std::uint64_t id = 0; id < low; ++id)
        queue.push(make_work(id, 1 + static_cast<int>(id % 2), begin));
    std::uint64_t id = 1000;
    std::uint64_t low_started = 0;
    auto now = begin + aging;
    const auto bound = (low + 1) * verbenalever::aging_lane::slots_for_each_aged;
    for (std::uint64_t starts = 0; starts < bound; ++starts) {
        queue.push(make_work(id++, 0, now));
        now += milliseconds(1);
        low_started += queue.pop_next(accept_all, now)->queue != "0" ? 1 : 0;
    }
    RC_ASSERT(low_started == low);
}

TEST(strict_queue, gives_aged_work_no_more_than_its_part)
{
    auto queue = make_queue();
    constexpr std::uint64_t each = 4000;
    for (std::uint64_t i = 0; i < each; ++i) {
        queue.push(make_work(i, 2, begin));
        queue.push(make_work(each + i, 0, begin + aging));
    }
    std::map<std::string, int> started;
    for (int i = 0; i < 800; ++i)
        ++started[queue.pop_next(accept_all, begin + aging + milliseconds(1))->queue];
    EXPECT_EQ(started["2"], 100);
    EXPECT_EQ(started["0"], 700);
}

} // namespace
