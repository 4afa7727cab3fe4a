// Checks the books and the planner of several entries against a store whose writes may take effect
// late, be lost, or lose their reply, while target leases change hands: whatever the order of
// events, a team's use stays within its limit.

#include "limits/allotment_book.h"
#include "limits/allotment_planner.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <deque>

namespace {

using verbenalever::allotment_book;
using verbenalever::allotment_record;
using verbenalever::allotment_request;
using verbenalever::allotted_target;
using verbenalever::plan_allotments;

constexpr int entry_count = 3;
constexpr int target_count = 4;
constexpr std::int64_t limit_slots = 6;
constexpr std::int64_t target_slots = 4;
constexpr int no_entry = -1;

/// One write on its way to the store.
struct sent_write {
    int entry = 0;
    std::int64_t base = 0;
    allotment_record record;
};

/// One target: who holds its lease, and what the team really runs there.
struct model_target {
    int holder = no_entry;
    std::int64_t epoch = 0;
    std::int64_t use = 0;
};

class allotment_model {
public:
    void step(int action, int entry, int target, int amount)
    {
        constexpr std::array actions{
            &allotment_model::take_lease,    &allotment_model::start,
            &allotment_model::end,           &allotment_model::send_write,
            &allotment_model::deliver_write, &allotment_model::deliver_and_lose_reply,
            &allotment_model::time_out,      &allotment_model::read};
        const auto chosen = static_cast<std::size_t>(action) % actions.size();
        (this->*actions[chosen])(entry, this->targets[target], amount);
    }

    [[nodiscard]] std::int64_t use() const
    {
        std::int64_t sum = 0;
        for (const auto& target : this->targets)
            sum += target.use;
        return sum;
    }

    [[nodiscard]] std::int64_t allotted() const
    {
        return this->kept.total().slots;
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

    void take_lease(int entry, model_target& target, int)
    {
        if (target.holder == entry)
            return;
        target.holder = entry;
        ++target.epoch;
    }

    void start(int, model_target& target, int amount)
    {
        if (target.holder == no_entry || target.use + amount > target_slots)
            return;
        const auto usable =
            this->books[target.holder].usable(this->view(target), {.slots = limit_slots});
        if (target.use + amount > usable.slots)
            return;
        target.use += amount;
        ++this->starts;
    }

    void end(int, model_target& target, int amount)
    {
        target.use -= std::min<std::int64_t>(target.use, amount);
    }

    void send_write(int entry, model_target&, int amount)
    {
        auto& book = this->books[entry];
        if (book.writing())
            return;
        const auto held = this->held_by(entry);
        const bool gives_up = amount == 0;
        const allotment_request request{.limit = {.slots = limit_slots},
                                        .demand = {.slots = gives_up ? 0 : amount},
                                        .give_up = {.slots = gives_up ? 2 : 0},
                                        .entries = entry_count};
        auto next = plan_allotments(book.record(), held, request).value_or(book.record());
        next.writer = "e" + std::to_string(entry);
        next.sequence = ++this->sequence;
        book.write_started(next, held);
        this->in_flight.push_back({.entry = entry, .base = book.revision(), .record = next});
    }

    std::optional<std::int64_t> take_effect(const sent_write& write)
    {
        if (write.base != this->revision)
            return std::nullopt;
        this->kept = write.record;
        return ++this->revision;
    }

    void deliver_write(int entry, model_target&, int)
    {
        const auto found = std::ranges::find(this->in_flight, entry, &sent_write::entry);
        if (found == this->in_flight.end())
            return;
        const auto write = *found;
        this->in_flight.erase(found);
        const auto written = this->take_effect(write);
        auto& book = this->books[entry];
        if (!book.writing() || !book.is_sent(write.record))
            return; // a late one; nobody waits for its answer
        if (written)
            book.write_kept(*written);
        else
            book.write_failed();
    }

    void deliver_and_lose_reply(int entry, model_target&, int)
    {
        const auto found = std::ranges::find(this->in_flight, entry, &sent_write::entry);
        if (found == this->in_flight.end())
            return;
        this->take_effect(*found);
        this->in_flight.erase(found);
        this->books[entry].write_failed();
    }

    /// The entry stops waiting; the write may still take effect later.
    void time_out(int entry, model_target&, int)
    {
        this->books[entry].write_failed();
    }

    void read(int entry, model_target&, int)
    {
        this->books[entry].observe(this->kept, this->revision);
    }

    std::array<allotment_book, entry_count> books;
    std::array<model_target, target_count> targets;
    allotment_record kept;
    std::int64_t revision = 0;
    std::int64_t sequence = 0;
    std::deque<sent_write> in_flight;
};

RC_GTEST_PROP(allotments, keep_use_within_the_limit_in_any_order_of_events, ())
{
    allotment_model model;
    const auto steps = *rc::gen::container<std::vector<std::tuple<int, int, int, int>>>(
        *rc::gen::inRange(400, 1500),
        rc::gen::tuple(rc::gen::inRange(0, 8), rc::gen::inRange(0, entry_count),
                       rc::gen::inRange(0, target_count), rc::gen::inRange(0, 3)));
    for (const auto& [action, entry, target, amount] : steps) {
        model.step(action, entry, target, amount);
        RC_ASSERT(model.use() <= limit_slots);
        RC_ASSERT(model.allotted() <= limit_slots);
    }
    RC_TAG(model.starts > 0);
}

TEST(allotments, let_a_late_write_lower_nothing_that_is_used)
{
    // The earlier holder's lowering is on its way while the next holder takes the target.
    allotment_book earlier;
    allotment_book next;
    allotment_record kept{.writer = "e0", .sequence = 1};
    kept.set("t", {.slots = 4});
    earlier.observe(kept, 1);
    next.observe(kept, 1);
    const allotted_target taken{.name = "t", .epoch = 2, .free = {.slots = 4}};
    EXPECT_EQ(next.usable(taken, {.slots = 6}).slots, 0) << "nothing ran and there is no fence yet";
    next.write_started(kept, std::vector{taken});
    next.write_kept(2);
    EXPECT_EQ(next.usable(taken, {.slots = 6}).slots, 4);
}

/// A book whose entry holds target "t" and has written its amount of four.
struct written_book {
    allotment_book book;
    allotment_record kept{.writer = "e0", .sequence = 1, .amounts = {}};
    allotted_target held{.name = "t", .epoch = 1, .use = {}, .free = {.slots = 4}};
};

written_book book_of_four()
{
    written_book result;
    result.kept.set("t", {.slots = 4});
    result.book.write_started(result.kept, std::vector{result.held});
    result.book.write_kept(1);
    return result;
}

TEST(allotments, keep_a_lowered_amount_until_a_newer_revision_is_seen)
{
    auto [book, kept, held] = book_of_four();
    auto lower = kept;
    lower.set("t", {.slots = 1});
    book.write_started(lower, std::vector{held});
    book.write_failed();
    book.observe(kept, 1);
    EXPECT_EQ(book.usable(held, {.slots = 6}).slots, 1) << "the write may still take effect";
    book.observe(kept, 2);
    EXPECT_EQ(book.usable(held, {.slots = 6}).slots, 4);
}

TEST(allotments, keep_the_lowest_of_several_writes_that_may_take_effect)
{
    auto [book, kept, held] = book_of_four();
    for (const std::int64_t amount : {1, 3}) {
        auto lower = kept;
        lower.set("t", {.slots = amount});
        book.write_started(lower, std::vector{held});
        book.write_failed();
    }
    EXPECT_EQ(book.usable(held, {.slots = 6}).slots, 1);
}

TEST(allotments, shrink_at_once_when_the_limit_is_lowered)
{
    allotment_book book;
    allotment_record kept{.writer = "e0", .sequence = 1};
    kept.set("t", {.slots = 4});
    kept.set("u", {.slots = 4});
    const allotted_target held{.name = "t", .epoch = 1, .free = {.slots = 4}};
    book.write_started(kept, std::vector{held});
    book.write_kept(1);
    EXPECT_EQ(book.usable(held, {.slots = 4}).slots, 2);
    const auto next = plan_allotments(kept, std::vector{held}, {.limit = {.slots = 4}});
    ASSERT_TRUE(next);
    EXPECT_EQ(next->amount_of("t").slots, 2);
    EXPECT_EQ(next->amount_of("u").slots, 4) << "its own holder shrinks it";
}

} // namespace
