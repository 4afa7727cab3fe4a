#include "scheduling/share_queue.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <map>
#include <queue>
#include <random>
#include <vector>

namespace {

using verbenalever::milliseconds;
using verbenalever::monotonic_time;
using verbenalever::queued_work;
using verbenalever::share_ledger;
using verbenalever::share_queue;

constexpr monotonic_time begin{std::chrono::hours(1)};
constexpr double aim_distance = 0.05;

const share_queue::rules_by_queue rules{{"urgent", {.urgent = true}},
                                        {"batch", {.aging = milliseconds(1000)}}};

/// A full fleet of single slots on which teams with weights 1, 2, 3... always have work waiting.
class full_fleet {
public:
    full_fleet(int slots, int teams) : slots(slots), teams(teams), queue(rules, this->ledger)
    {
        share_ledger::weights_by_team weights;
        for (int team = 0; team < teams; ++team)
            weights[name(team)] = weight(team);
        this->ledger.set_weights(weights);
        this->ledger.set_capacity({.slots = slots});
        for (int team = 0; team < teams; ++team) {
            this->push(team);
            this->push(team);
        }
    }

    static double weight(int team)
    {
        return 1 + team % 4;
    }

    /// Run work whose length is drawn for each team apart, mean up to @p longest.
    void run(milliseconds span, milliseconds longest)
    {
        const auto end = this->now + span;
        while (this->now < end) {
            this->fill(longest);
            this->end_first();
        }
    }

    /// @return the greatest distance of a team's part of busy time from its share
    [[nodiscard]] double distance() const
    {
        double total_weight = 0;
        double total_busy = 0;
        for (int team = 0; team < this->teams; ++team) {
            total_weight += weight(team);
            total_busy += this->busy_of(team);
        }
        double greatest = 0;
        for (int team = 0; team < this->teams; ++team)
            greatest = std::max(
                greatest, std::abs(this->busy_of(team) / total_busy - weight(team) / total_weight));
        return greatest;
    }

    std::map<int, double> busy; ///< slot seconds by team

private:
    struct running {
        monotonic_time end;
        int team = 0;
        friend bool operator>(const running& left, const running& right)
        {
            return left.end > right.end;
        }
    };

    static std::string name(int team)
    {
        return "team-" + std::to_string(team);
    }

    [[nodiscard]] double busy_of(int team) const
    {
        const auto found = this->busy.find(team);
        return found == this->busy.end() ? 0 : found->second;
    }

    void push(int team)
    {
        this->queue.push({.id = ++this->last_id,
                          .queue = "batch",
                          .team = name(team),
                          .arrival = this->now,
                          .deadline = this->now + std::chrono::hours(10),
                          .demand = {.slots = 1}});
    }

    void fill(milliseconds longest)
    {
        while (static_cast<int>(this->active.size()) < this->slots) {
            const auto work =
                this->queue.pop_next([](const queued_work&) { return true; }, this->now);
            const int team = std::stoi(work->team.substr(5));
            const auto mean = longest * (1 + team % 3) / 3;
            std::exponential_distribution<double> length(1.0 / static_cast<double>(mean.count()));
            const milliseconds span(1 + static_cast<int>(length(this->random)));
            this->active.push({.end = this->now + span, .team = team});
            this->ledger.add_local_usage(work->team, {.slots = 1}, this->now);
            this->busy[team] += std::chrono::duration<double>(span).count();
            this->push(team);
        }
    }

    void end_first()
    {
        const auto ended = this->active.top();
        this->active.pop();
        this->now = ended.end;
        this->ledger.add_local_usage(name(ended.team), {.slots = -1}, this->now);
    }

    int slots;
    int teams;
    share_ledger ledger;
    share_queue queue;
    monotonic_time now = begin;
    std::uint64_t last_id = 0;
    std::mt19937 random{20261204};
    std::priority_queue<running, std::vector<running>, std::greater<>> active;
};

TEST(share_queue, brings_busy_time_to_the_weights_with_more_slots_than_teams)
{
    full_fleet fleet(50, 6);
    fleet.run(std::chrono::seconds(300), milliseconds(3000));
    EXPECT_LT(fleet.distance(), aim_distance);
}

// With fewer slots than teams, most have nothing running: use alone cannot tell them apart, and
// the distance is taken relative to a team's share.
TEST(share_queue, brings_busy_time_to_the_weights_with_more_teams_than_slots)
{
    full_fleet fleet(20, 80);
    fleet.run(std::chrono::seconds(600), milliseconds(300));
    std::map<double, double> by_weight;
    for (const auto& [team, busy] : fleet.busy)
        by_weight[full_fleet::weight(team)] += busy;
    for (const auto& [weight, busy] : by_weight)
        EXPECT_NEAR(busy / by_weight[1], weight, weight * aim_distance * 2) << weight;
}

TEST(share_queue, starts_urgent_work_first_and_the_rest_after_it)
{
    share_ledger ledger;
    share_queue queue(rules, ledger);
    const auto push = [&queue](std::uint64_t id, const char* name) {
        queue.push({.id = id,
                    .queue = name,
                    .team = "red",
                    .arrival = begin,
                    .deadline = begin + std::chrono::hours(1)});
    };
    push(1, "batch");
    push(2, "urgent");
    const auto all = [](const queued_work&) { return true; };
    EXPECT_EQ(queue.pop_next(all, begin)->id, 2U);
    EXPECT_EQ(queue.pop_next(all, begin)->id, 1U);
}

TEST(share_queue, lets_the_rest_have_its_part_of_lasting_urgent_load)
{
    share_ledger ledger;
    share_queue queue(rules, ledger);
    std::uint64_t id = 0;
    for (const auto* name : {"batch", "urgent"}) {
        for (int i = 0; i < 1000; ++i)
            queue.push({.id = ++id,
                        .queue = name,
                        .team = "red",
                        .arrival = begin,
                        .deadline = begin + std::chrono::hours(1)});
    }
    const auto started = [&queue](milliseconds waited) {
        int batch = 0;
        for (int i = 0; i < 80; ++i) {
            const auto work =
                queue.pop_next([](const queued_work&) { return true; }, begin + waited);
            batch += work->queue == "batch" ? 1 : 0;
        }
        return batch;
    };
    // Nothing of it ends, so that the rest's part is that of all starts.
    EXPECT_EQ(started(milliseconds(999)), 0);
    EXPECT_EQ(started(milliseconds(1000)), (80 + 80) / 8);
}

TEST(share_queue, gives_long_work_no_more_slots_by_aging_than_its_part)
{
    share_ledger ledger;
    share_queue queue(rules, ledger);
    std::uint64_t id = 0;
    for (const auto* name : {"batch", "urgent"}) {
        for (int i = 0; i < 4000; ++i)
            queue.push({.id = ++id,
                        .queue = name,
                        .team = "red",
                        .arrival = begin,
                        .deadline = begin + std::chrono::hours(1)});
    }
    // Sixteen slots: urgent work ends at once, batch never.
    std::size_t batch_running = 0;
    for (int round = 0; round < 100; ++round) {
        std::vector<std::uint64_t> urgent_running;
        while (batch_running + urgent_running.size() < 16) {
            const auto work =
                queue.pop_next([](const queued_work&) { return true; }, begin + milliseconds(2000));
            if (work->queue == "batch")
                ++batch_running;
            else
                urgent_running.push_back(work->id);
        }
        for (const auto ended : urgent_running)
            queue.work_ended(ended);
    }
    EXPECT_GE(batch_running, 1U);
    EXPECT_LE(batch_running, 3U);
}

// The filter reserves room and may give it back, which changes the ledger while the order is read.
TEST(share_queue, bears_changes_of_the_ledger_from_within_the_filter)
{
    share_ledger ledger;
    ledger.set_capacity({.slots = 1000});
    share_queue queue(rules, ledger);
    std::map<std::string, int> started;
    for (std::uint64_t id = 0; id < 400; ++id)
        queue.push({.id = id,
                    .queue = "batch",
                    .team = id < 200 ? "red" : "blue",
                    .arrival = begin,
                    .deadline = begin + std::chrono::hours(1),
                    .demand = {.slots = 1}});
    int asked = 0;
    const auto reserve = [&ledger, &asked](const queued_work& work) {
        ledger.add_local_usage(work.team, work.demand, begin);
        if (++asked % 2 == 0)
            return true;
        ledger.add_local_usage(work.team, {.slots = -1}, begin);
        return false;
    };
    for (int i = 0; i < 200; ++i)
        ++started[queue.pop_next(reserve, begin)->team];
    EXPECT_EQ(started["red"] + started["blue"], 200);
    EXPECT_EQ(ledger.local_usage("red").slots, started["red"]);
}

TEST(share_ledger, takes_the_dominant_resource_over_the_fleet)
{
    share_ledger ledger;
    ledger.set_capacity({.slots = 100, .memory_mb = 1000});
    ledger.set_weights({{"red", 2}});
    ledger.add_local_usage("red", {.slots = 10, .memory_mb = 50}, begin);
    ledger.set_peer_usage("peer", "red", {.slots = 10, .memory_mb = 450}, begin);
    EXPECT_DOUBLE_EQ(ledger.dominant_share("red"), 0.5);
    EXPECT_DOUBLE_EQ(ledger.weighted_share("red", begin), 0.25);
    ledger.remove_peer("peer", begin);
    EXPECT_DOUBLE_EQ(ledger.dominant_share("red"), 0.1);
}

RC_GTEST_PROP(share_ledger, sums_what_entries_told_last, ())
{
    share_ledger ledger;
    std::map<std::pair<int, int>, std::int64_t> model;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
        const auto peer = *rc::gen::inRange(0, 3);
        const auto team = *rc::gen::inRange(0, 3);
        if (*rc::gen::inRange(0, 6) == 0) {
            ledger.remove_peer(std::to_string(peer), begin);
            std::erase_if(model, [peer](const auto& item) { return item.first.first == peer; });
            continue;
        }
        const auto slots = *rc::gen::inRange<std::int64_t>(0, 5);
        ledger.set_peer_usage(std::to_string(peer), std::to_string(team), {.slots = slots}, begin);
        model[{peer, team}] = slots;
    }
    for (int team = 0; team < 3; ++team) {
        std::int64_t sum = 0;
        for (const auto& [key, slots] : model)
            sum += key.second == team ? slots : 0;
        RC_ASSERT(ledger.total_usage(std::to_string(team)).slots == sum);
    }
}

} // namespace
