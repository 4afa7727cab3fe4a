// Model-based test of the tracker and the planner: several entry daemons write to a store whose
// writes may take effect late, be lost, or lose their reply, while target leases move between entry
// daemons. In any order of events a team's use must stay within its limit.

#include "limits/allotment_planner.h"
#include "limits/allotment_tracker.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>

namespace {

using verbenalever::allotment_plan_input;
using verbenalever::allotment_record;
using verbenalever::allotment_tracker;
using verbenalever::allotted_target;
using verbenalever::plan_allotments;

constexpr int entry_count = 3;
constexpr int target_count = 4;
constexpr std::int64_t limit_slots = 6;
constexpr std::int64_t target_slots = 4;
constexpr int no_entry = -1;

/// One write that was sent to the store and has not taken effect yet.
struct sent_write {
    int entry = 0;
    std::int64_t base = 0;
    allotment_record record;
};

/// One target: the entry daemon that holds its lease, and the team's actual use of it.
struct model_target {
    int holder = no_entry;
    std::int64_t epoch = 0;
    std::int64_t use = 0;
};

class allotment_model {
public:
    void apply_action(int action, int entry, int target, int amount)
    {
        constexpr std::array actions{
            &allotment_model::acquire_lease,  &allotment_model::start_task,
            &allotment_model::end_task,       &allotment_model::send_write,
            &allotment_model::deliver_write,  &allotment_model::deliver_and_lose_reply,
            &allotment_model::time_out_write, &allotment_model::read_record};
        const auto chosen = static_cast<std::size_t>(action) % actions.size();
        (this->*actions[chosen])(entry, this->targets[target], amount);
    }

    [[nodiscard]] std::int64_t total_use() const
    {
        std::int64_t sum = 0;
        for (const auto& target : this->targets)
            sum += target.use;
        return sum;
    }

    [[nodiscard]] std::int64_t total_allotted() const
    {
        return this->record.total().slots;
    }

    std::int64_t starts = 0;

private:
    [[nodiscard]] allotted_target view(const model_target& target) const
    {
        const auto index = &target - this->targets.data();
        return {.name = "t" + std::to_string(index),
                .epoch = target.epoch,
                .use = {.slots = target.use},
                .free = {.slots = target_slots - target.use}};
    }

    [[nodiscard]] std::vector<allotted_target> held_by(int entry) const
    {
        std::vector<allotted_target> held;
        for (const auto& target : this->targets) {
            if (target.holder == entry)
                held.push_back(this->view(target));
        }
        return held;
    }

    void acquire_lease(int entry, model_target& target, int)
    {
        if (target.holder == entry)
            return;
        target.holder = entry;
        ++target.epoch;
    }

    void start_task(int, model_target& target, int amount)
    {
        if (target.holder == no_entry || target.use + amount > target_slots)
            return;
        const auto usable =
            this->trackers[target.holder].usable_amount(this->view(target), {.slots = limit_slots});
        if (target.use + amount > usable.slots)
            return;
        target.use += amount;
        ++this->starts;
    }

    void end_task(int, model_target& target, int amount)
    {
        target.use -= std::min<std::int64_t>(target.use, amount);
    }

    void send_write(int entry, model_target&, int amount)
    {
        auto& tracker = this->trackers[entry];
        if (tracker.write_pending())
            return;
        const auto held = this->held_by(entry);
        const bool releases = amount == 0;
        const allotment_plan_input request{.limit = {.slots = limit_slots},
                                           .demand = {.slots = releases ? 0 : amount},
                                           .peer_demand = {.slots = releases ? 2 : 0},
                                           .sharing_entries = entry_count};
        auto next = plan_allotments(tracker.record(), held, request).value_or(tracker.record());
        next.writer = "e" + std::to_string(entry);
        next.sequence = ++this->sequence;
        tracker.begin_write(next, held);
        this->writes_in_flight.push_back(
            {.entry = entry, .base = tracker.revision(), .record = next});
    }

    std::optional<std::int64_t> apply_to_store(const sent_write& write)
    {
        if (write.base != this->revision)
            return std::nullopt;
        this->record = write.record;
        return ++this->revision;
    }

    void deliver_write(int entry, model_target&, int)
    {
        const auto found = std::ranges::find(this->writes_in_flight, entry, &sent_write::entry);
        if (found == this->writes_in_flight.end())
            return;
        const auto write = *found;
        this->writes_in_flight.erase(found);
        const auto written = this->apply_to_store(write);
        auto& tracker = this->trackers[entry];
        if (!tracker.write_pending() || !tracker.is_last_sent(write.record))
            return; // delivered late: the entry daemon no longer waits for the reply
        if (written)
            tracker.write_committed(*written);
        else
            tracker.write_failed();
    }

    void deliver_and_lose_reply(int entry, model_target&, int)
    {
        const auto found = std::ranges::find(this->writes_in_flight, entry, &sent_write::entry);
        if (found == this->writes_in_flight.end())
            return;
        this->apply_to_store(*found);
        this->writes_in_flight.erase(found);
        this->trackers[entry].write_failed();
    }

    /// The entry daemon's write times out; the write may still take effect later.
    void time_out_write(int entry, model_target&, int)
    {
        this->trackers[entry].write_failed();
    }

    void read_record(int entry, model_target&, int)
    {
        this->trackers[entry].apply_record(this->record, this->revision);
    }

    std::array<allotment_tracker, entry_count> trackers;
    std::array<model_target, target_count> targets;
    allotment_record record;
    std::int64_t revision = 0;
    std::int64_t sequence = 0;
    std::deque<sent_write> writes_in_flight;
};

RC_GTEST_PROP(allotments, use_stays_within_the_limit_in_any_order_of_events, ())
{
    allotment_model model;
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int, int>>>(
        *rc::gen::inRange(400, 1500),
        rc::gen::tuple(rc::gen::inRange(0, 8), rc::gen::inRange(0, entry_count),
                       rc::gen::inRange(0, target_count), rc::gen::inRange(0, 3)));
    for (const auto& [action, entry, target, amount] : steps) {
        model.apply_action(action, entry, target, amount);
        RC_ASSERT(model.total_use() <= limit_slots);
        RC_ASSERT(model.total_allotted() <= limit_slots);
    }
    RC_TAG(model.starts > 0);
}

TEST(allotments, late_write_of_previous_holder_cannot_lower_an_amount_in_use)
{
    // The previous holder's write that lowers the amount is in flight when the next holder acquires
    // the lease.
    allotment_tracker previous_holder;
    allotment_tracker next;
    allotment_record record{.writer = "e0", .sequence = 1};
    record.set("t", {.slots = 4});
    previous_holder.apply_record(record, 1);
    next.apply_record(record, 1);
    const allotted_target taken{.name = "t", .epoch = 2, .free = {.slots = 4}};
    EXPECT_EQ(next.usable_amount(taken, {.slots = 6}).slots, 0)
        << "nothing was running and the record is not fenced yet";
    next.begin_write(record, std::vector{taken});
    next.write_committed(2);
    EXPECT_EQ(next.usable_amount(taken, {.slots = 6}).slots, 4);
}

/// The tracker of an entry daemon that holds target "t" and has written its amount of four slots.
struct tracker_with_allotment {
    allotment_tracker tracker;
    allotment_record record{.writer = "e0", .sequence = 1, .amounts = {}};
    allotted_target held{.name = "t", .epoch = 1, .use = {}, .free = {.slots = 4}};
};

tracker_with_allotment tracker_with_four_slots()
{
    tracker_with_allotment result;
    result.record.set("t", {.slots = 4});
    result.tracker.begin_write(result.record, std::vector{result.held});
    result.tracker.write_committed(1);
    return result;
}

TEST(allotments, lowered_amount_applies_until_a_newer_revision_is_known)
{
    auto [tracker, record, held] = tracker_with_four_slots();
    auto lower = record;
    lower.set("t", {.slots = 1});
    tracker.begin_write(lower, std::vector{held});
    tracker.write_failed();
    tracker.apply_record(record, 1);
    EXPECT_EQ(tracker.usable_amount(held, {.slots = 6}).slots, 1)
        << "the write may still take effect";
    tracker.apply_record(record, 2);
    EXPECT_EQ(tracker.usable_amount(held, {.slots = 6}).slots, 4);
}

TEST(allotments, lowest_of_several_unconfirmed_writes_applies)
{
    auto [tracker, record, held] = tracker_with_four_slots();
    for (const std::int64_t amount : {1, 3}) {
        auto lower = record;
        lower.set("t", {.slots = amount});
        tracker.begin_write(lower, std::vector{held});
        tracker.write_failed();
    }
    EXPECT_EQ(tracker.usable_amount(held, {.slots = 6}).slots, 1);
}

TEST(allotments, usable_amounts_shrink_at_once_when_the_limit_is_lowered)
{
    allotment_tracker tracker;
    allotment_record record{.writer = "e0", .sequence = 1};
    record.set("t", {.slots = 4});
    record.set("u", {.slots = 4});
    const allotted_target held{.name = "t", .epoch = 1, .free = {.slots = 4}};
    tracker.begin_write(record, std::vector{held});
    tracker.write_committed(1);
    EXPECT_EQ(tracker.usable_amount(held, {.slots = 4}).slots, 2);
    const auto next = plan_allotments(record, std::vector{held}, {.limit = {.slots = 4}});
    ASSERT_TRUE(next);
    EXPECT_EQ(next->amount_of("t").slots, 2);
    EXPECT_EQ(next->amount_of("u").slots, 4) << "only the lease holder of u may lower it";
}

} // namespace
