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

constexpr monotonic_time start_time{std::chrono::hours(1)};
constexpr double max_deviation = 0.05;

const share_queue::rules_by_queue rules{{"urgent", {.urgent = true}},
                                        {"batch", {.aging_interval = milliseconds(1000)}}};

/// A full fleet with slots only, on which all teams always have work waiting. Weights are one to
/// four.
class saturated_fleet {
public:
    saturated_fleet(int slots, int teams) : slots(slots), teams(teams), queue(rules, this->ledger)
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

    /// Start and end work for @p duration. Run times are random; the mean of a team is a third, two
    /// thirds or all of @p max_mean_run_time.
    void run(milliseconds duration, milliseconds max_mean_run_time)
    {
        const auto end = this->now + duration;
        while (this->now < end) {
            this->fill(max_mean_run_time);
            this->end_first_work();
        }
    }

    /// @return the largest difference between a team's fraction of the busy time and its share
    [[nodiscard]] double max_share_deviation() const
    {
        double total_weight = 0;
        double total_busy = 0;
        for (int team = 0; team < this->teams; ++team) {
            total_weight += weight(team);
            total_busy += this->busy_seconds_of(team);
        }
        double greatest = 0;
        for (int team = 0; team < this->teams; ++team)
            greatest = std::max(greatest, std::abs(this->busy_seconds_of(team) / total_busy -
                                                   weight(team) / total_weight));
        return greatest;
    }

    std::map<int, double> busy_seconds; ///< slot seconds by team

private:
    struct running_work {
        monotonic_time end;
        int team = 0;
        friend bool operator>(const running_work& left, const running_work& right)
        {
            return left.end > right.end;
        }
    };

    static std::string name(int team)
    {
        return "team-" + std::to_string(team);
    }

    [[nodiscard]] double busy_seconds_of(int team) const
    {
        const auto found = this->busy_seconds.find(team);
        return found == this->busy_seconds.end() ? 0 : found->second;
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

    void fill(milliseconds max_mean_run_time)
    {
        while (static_cast<int>(this->running_by_end.size()) < this->slots) {
            const auto work =
                this->queue.pop_next([](const queued_work&) { return true; }, this->now);
            const int team = std::stoi(work->team.substr(5));
            const auto team_mean = max_mean_run_time * (1 + team % 3) / 3;
            std::exponential_distribution<double> random_run_time(
                1.0 / static_cast<double>(team_mean.count()));
            const milliseconds run_time(1 + static_cast<int>(random_run_time(this->random)));
            this->running_by_end.push({.end = this->now + run_time, .team = team});
            this->ledger.add_local_usage(work->team, {.slots = 1}, this->now);
            this->busy_seconds[team] += std::chrono::duration<double>(run_time).count();
            this->push(team);
        }
    }

    void end_first_work()
    {
        const auto ended = this->running_by_end.top();
        this->running_by_end.pop();
        this->now = ended.end;
        this->ledger.add_local_usage(name(ended.team), {.slots = -1}, this->now);
    }

    int slots;
    int teams;
    share_ledger ledger;
    share_queue queue;
    monotonic_time now = start_time;
    std::uint64_t last_id = 0;
    std::mt19937 random{20261204};
    std::priority_queue<running_work, std::vector<running_work>, std::greater<>> running_by_end;
};

TEST(share_queue, busy_time_follows_the_weights_with_more_slots_than_teams)
{
    saturated_fleet fleet(50, 6);
    fleet.run(std::chrono::seconds(300), milliseconds(3000));
    EXPECT_LT(fleet.max_share_deviation(), max_deviation);
}

// With fewer slots than teams, most teams have nothing running, so that current usage alone cannot
// order them. The deviation is measured relative to a team's share.
TEST(share_queue, busy_time_follows_the_weights_with_more_teams_than_slots)
{
    saturated_fleet fleet(20, 80);
    fleet.run(std::chrono::seconds(600), milliseconds(300));
    std::map<double, double> seconds_by_weight;
    for (const auto& [team, seconds] : fleet.busy_seconds)
        seconds_by_weight[saturated_fleet::weight(team)] += seconds;
    for (const auto& [weight, seconds] : seconds_by_weight)
        EXPECT_NEAR(seconds / seconds_by_weight[1], weight, weight * max_deviation * 2) << weight;
}

TEST(share_queue, starts_urgent_work_before_other_work)
{
    share_ledger ledger;
    share_queue queue(rules, ledger);
    const auto push = [&queue](std::uint64_t id, const char* name) {
        queue.push({.id = id,
                    .queue = name,
                    .team = "red",
                    .arrival = start_time,
                    .deadline = start_time + std::chrono::hours(1)});
    };
    push(1, "batch");
    push(2, "urgent");
    const auto all = [](const queued_work&) { return true; };
    EXPECT_EQ(queue.pop_next(all, start_time)->id, 2U);
    EXPECT_EQ(queue.pop_next(all, start_time)->id, 1U);
}

TEST(share_queue, aged_batch_work_gets_one_start_in_eight_under_lasting_urgent_load)
{
    share_ledger ledger;
    share_queue queue(rules, ledger);
    std::uint64_t id = 0;
    for (const auto* name : {"batch", "urgent"}) {
        for (int i = 0; i < 1000; ++i)
            queue.push({.id = ++id,
                        .queue = name,
                        .team = "red",
                        .arrival = start_time,
                        .deadline = start_time + std::chrono::hours(1)});
    }
    const auto started = [&queue](milliseconds waited) {
        int batch = 0;
        for (int i = 0; i < 80; ++i) {
            const auto work =
                queue.pop_next([](const queued_work&) { return true; }, start_time + waited);
            batch += work->queue == "batch" ? 1 : 0;
        }
        return batch;
    };
    // No work ends, so that the quota of one slot in eight applies to all starts.
    EXPECT_EQ(started(milliseconds(999)), 0);
    EXPECT_EQ(started(milliseconds(1000)), (80 + 80) / 8);
}

TEST(share_queue, long_running_aged_work_holds_at_most_one_slot_in_eight)
{
    share_ledger ledger;
    share_queue queue(rules, ledger);
    std::uint64_t id = 0;
    for (const auto* name : {"batch", "urgent"}) {
        for (int i = 0; i < 4000; ++i)
            queue.push({.id = ++id,
                        .queue = name,
                        .team = "red",
                        .arrival = start_time,
                        .deadline = start_time + std::chrono::hours(1)});
    }
    // Sixteen slots; urgent work ends at once, batch work never. A quota of starts instead of slots
    // would give batch work all of them.
    std::size_t batch_running = 0;
    for (int round = 0; round < 100; ++round) {
        std::vector<std::uint64_t> urgent_running;
        while (batch_running + urgent_running.size() < 16) {
            const auto work = queue.pop_next([](const queued_work&) { return true; },
                                             start_time + milliseconds(2000));
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

// The filter reserves capacity and may release it again, which changes the ledger while the order
// is iterated.
TEST(share_queue, filter_may_change_the_ledger)
{
    share_ledger ledger;
    ledger.set_capacity({.slots = 1000});
    share_queue queue(rules, ledger);
    std::map<std::string, int> started;
    for (std::uint64_t id = 0; id < 400; ++id)
        queue.push({.id = id,
                    .queue = "batch",
                    .team = id < 200 ? "red" : "blue",
                    .arrival = start_time,
                    .deadline = start_time + std::chrono::hours(1),
                    .demand = {.slots = 1}});
    int filter_calls = 0;
    const auto reserve = [&ledger, &filter_calls](const queued_work& work) {
        ledger.add_local_usage(work.team, work.demand, start_time);
        if (++filter_calls % 2 == 0)
            return true;
        ledger.add_local_usage(work.team, {.slots = -1}, start_time);
        return false;
    };
    for (int i = 0; i < 200; ++i)
        ++started[queue.pop_next(reserve, start_time)->team];
    EXPECT_EQ(started["red"] + started["blue"], 200);
    EXPECT_EQ(ledger.local_usage("red").slots, started["red"]);
}

TEST(share_ledger, uses_the_dominant_resource_of_the_whole_fleet)
{
    share_ledger ledger;
    ledger.set_capacity({.slots = 100, .memory_mb = 1000});
    ledger.set_weights({{"red", 2}});
    ledger.add_local_usage("red", {.slots = 10, .memory_mb = 50}, start_time);
    ledger.set_peer_usage("peer", "red", {.slots = 10, .memory_mb = 450}, start_time);
    EXPECT_DOUBLE_EQ(ledger.dominant_share("red"), 0.5);
    EXPECT_DOUBLE_EQ(ledger.weighted_share("red", start_time), 0.25);
    ledger.remove_peer("peer", start_time);
    EXPECT_DOUBLE_EQ(ledger.dominant_share("red"), 0.1);
}

RC_GTEST_PROP(share_ledger, sums_the_latest_usage_of_each_peer, ())
{
    share_ledger ledger;
    std::map<std::pair<int, int>, std::int64_t> model;
    const auto steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
        const auto peer = *rc::gen::inRange(0, 3);
        const auto team = *rc::gen::inRange(0, 3);
        if (*rc::gen::inRange(0, 6) == 0) {
            ledger.remove_peer(std::to_string(peer), start_time);
            std::erase_if(model, [peer](const auto& item) { return item.first.first == peer; });
            continue;
        }
        const auto slots = *rc::gen::inRange<std::int64_t>(0, 5);
        ledger.set_peer_usage(std::to_string(peer), std::to_string(team), {.slots = slots},
                              start_time);
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
