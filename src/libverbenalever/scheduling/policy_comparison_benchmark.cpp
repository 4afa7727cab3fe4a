// Replays the same arrivals with pairs of queue and placement policies on a small simulated fleet.
// Reports waiting times by class ("urgent_p50_ms" and others), the fraction of slots in use while
// work waits ("packing"), and the largest deviation of a team's fraction of the busy time from its
// fair fraction ("distance").

#include "scheduling/placement_index.h"
#include "scheduling/placement_policy.h"
#include "scheduling/policy_factory.h"
#include "scheduling/queue_policy.h"
#include "scheduling/share_ledger.h"

#include "configuration/operator_configuration.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <queue>
#include <random>

namespace {

using verbenalever::milliseconds;
using verbenalever::monotonic_time;
using verbenalever::placement_index;
using verbenalever::placement_policy;
using verbenalever::queued_work;
using verbenalever::resources;
using verbenalever::share_ledger;
using verbenalever::start_verdict;

constexpr std::size_t targets = 50;
constexpr std::size_t teams = 6;
constexpr resources target_capacity{.slots = 8, .processors_milli = 16'000, .memory_mb = 64'000};
constexpr resources urgent_demand{.slots = 1, .processors_milli = 500, .memory_mb = 1000};
constexpr monotonic_time start_time{std::chrono::hours(1)};
constexpr double replay_seconds = 120;
constexpr double urgent_fraction = 0.3; ///< of the slot seconds that arrive
constexpr double urgent_mean_seconds = 0.1;
constexpr double batch_mean_seconds = 5;
constexpr std::array<double, teams> weights{1, 1, 2, 2, 3, 3};

constexpr const char* queue_configuration_text = R"(
teams:
  team-0: {share: 1}
  team-1: {share: 1}
  team-2: {share: 2}
  team-3: {share: 2}
  team-4: {share: 3}
  team-5: {share: 3}
queues:
  urgent: {class: urgent, priority: 0}
  batch: {class: batch, priority: 1, aging: 30s}
)";

struct arrival {
    queued_work work;
    double seconds = 0; ///< run time, which the policies do not know
};

struct running_work {
    monotonic_time end;
    std::size_t target = 0;
    std::size_t arrival = 0;
    friend bool operator>(const running_work& left, const running_work& right)
    {
        return left.end > right.end;
    }
};

struct replay_result {
    std::vector<double> urgent_waits;
    std::vector<double> batch_waits;
    std::size_t urgent_arrivals = 0;
    double packing = 0;
    double share_deviation = 0;
};

monotonic_time after(monotonic_time from, double seconds)
{
    return from + std::chrono::duration_cast<std::chrono::nanoseconds>(
                      std::chrono::duration<double>(seconds));
}

double seconds_between(monotonic_time from, monotonic_time to)
{
    return std::chrono::duration<double>(to - from).count();
}

/// Poisson arrivals, the same for every policy at one load; teams have equal rates of arrival.
/// @param load slot seconds that arrive, relative to the capacity of the fleet
std::vector<arrival> generate_arrivals(double load)
{
    std::mt19937 random(20261204);
    const double slots = static_cast<double>(targets) * static_cast<double>(target_capacity.slots);
    const double urgent_rate = load * slots * urgent_fraction / urgent_mean_seconds;
    constexpr double mean_batch_slots = 2.5;
    const double batch_rate =
        load * slots * (1 - urgent_fraction) / (batch_mean_seconds * mean_batch_slots);
    std::exponential_distribution<double> gap(urgent_rate + batch_rate);
    std::bernoulli_distribution is_urgent(urgent_rate / (urgent_rate + batch_rate));
    std::uniform_int_distribution<std::int64_t> batch_slots(1, 4);
    std::uniform_int_distribution<std::size_t> any_team(0, teams - 1);
    std::exponential_distribution<double> length(1);
    std::vector<arrival> all;
    for (double at = gap(random); at < replay_seconds; at += gap(random)) {
        const bool urgent = is_urgent(random);
        const auto now = after(start_time, at);
        auto demand = urgent_demand;
        if (!urgent) {
            demand.slots = batch_slots(random);
            demand.processors_milli = demand.slots * 2000;
            demand.memory_mb = demand.slots * 8000;
        }
        all.push_back(
            {.work = {.id = all.size(),
                      .queue = urgent ? "urgent" : "batch",
                      .team = fmt::format("team-{}", any_team(random)),
                      .priority = urgent ? 0 : 1,
                      .arrival = now,
                      .deadline = now + (urgent ? milliseconds(2000) : milliseconds(600'000)),
                      .demand = demand},
             .seconds = length(random) * (urgent ? urgent_mean_seconds : batch_mean_seconds)});
    }
    return all;
}

class replay {
public:
    replay(const std::vector<arrival>& arrivals, const std::string& policy,
           const std::string& placement)
        : arrivals(arrivals), placement(verbenalever::make_placement_policy(placement)),
          busy_slot_seconds(teams, 0), offered_slot_seconds(teams, 0)
    {
        const auto configuration = *verbenalever::operator_configuration::parse(
            "policy: " + policy + queue_configuration_text, "replay");
        verbenalever::apply_shares(configuration, this->ledger);
        this->queue = verbenalever::make_queue_policy(configuration, this->ledger);
        resources fleet;
        std::vector<verbenalever::placement_candidate> candidates;
        for (std::size_t i = 0; i < targets; ++i) {
            candidates.push_back(
                {.index = i, .capacity = target_capacity, .free = target_capacity, .rack = ""});
            fleet += target_capacity;
        }
        this->ledger.set_capacity(fleet);
        this->index.assign(std::move(candidates));
    }

    replay_result run()
    {
        for (const auto& next : this->arrivals) {
            this->end_work_until(next.work.arrival);
            this->advance_to(next.work.arrival);
            this->offered_slot_seconds[team_of(next)] +=
                next.seconds * static_cast<double>(next.work.demand.slots);
            this->result.urgent_arrivals += next.work.queue == "urgent" ? 1 : 0;
            this->queue->push(next.work);
            this->start_startable();
        }
        this->end_work_until(after(start_time, replay_seconds));
        this->advance_to(after(start_time, replay_seconds));
        this->result.packing = this->busy_while_waiting / std::max(this->waiting_seconds, 1e-9);
        this->result.share_deviation = this->max_share_deviation();
        return this->result;
    }

private:
    static std::size_t team_of(const arrival& item)
    {
        return static_cast<std::size_t>(item.work.team.back() - '0');
    }

    void advance_to(monotonic_time time)
    {
        const double elapsed = seconds_between(this->now, time);
        const double total =
            static_cast<double>(targets) * static_cast<double>(target_capacity.slots);
        if (this->queue->size() > 0) {
            this->waiting_seconds += elapsed;
            this->busy_while_waiting += elapsed * static_cast<double>(this->used_slots) / total;
        }
        this->now = time;
    }

    void end_work_until(monotonic_time time)
    {
        while (!this->running_by_end.empty() && this->running_by_end.top().end <= time) {
            const auto ended = this->running_by_end.top();
            this->running_by_end.pop();
            this->advance_to(ended.end);
            const auto& work = this->arrivals[ended.arrival].work;
            this->index.set_free(ended.target,
                                 this->index.candidates()[ended.target].free + work.demand);
            this->ledger.add_local_usage(work.team, resources{} - work.demand, this->now);
            this->used_slots -= work.demand.slots;
            this->queue->work_ended(work.id);
            this->start_startable();
        }
    }

    void start_startable()
    {
        static_cast<void>(this->queue->pop_expired(this->now));
        std::size_t target = 0;
        const auto reserve = [this, &target](const queued_work& work) -> start_verdict {
            const auto chosen =
                this->placement->choose(this->index, work.demand, [](std::size_t) { return true; });
            if (!chosen)
                return start_verdict::no_capacity();
            target = *chosen;
            return true;
        };
        while (const auto work = this->queue->pop_next(reserve, this->now))
            this->start(*work, target);
    }

    void start(const queued_work& work, std::size_t target)
    {
        const auto& item = this->arrivals[work.id];
        this->index.set_free(target, this->index.candidates()[target].free - work.demand);
        this->ledger.add_local_usage(work.team, work.demand, this->now);
        this->used_slots += work.demand.slots;
        this->running_by_end.push(
            {.end = after(this->now, item.seconds), .target = target, .arrival = work.id});
        const double seconds_to_replay_end =
            seconds_between(this->now, after(start_time, replay_seconds));
        this->busy_slot_seconds[team_of(item)] +=
            std::min(item.seconds, seconds_to_replay_end) * static_cast<double>(work.demand.slots);
        auto& wait_seconds =
            work.queue == "urgent" ? this->result.urgent_waits : this->result.batch_waits;
        wait_seconds.push_back(seconds_between(work.arrival, this->now));
    }

    /// @return the largest difference between a team's busy time and its weighted max-min fair
    ///         share, relative to all busy time. No team's fair share exceeds what its arrivals
    ///         demand; the remainder is divided among the others by weight.
    [[nodiscard]] double max_share_deviation() const
    {
        double total = 0;
        for (const double seconds : this->busy_slot_seconds)
            total += seconds;
        std::array<double, teams> fair_slot_seconds{};
        double undistributed = total;
        std::vector<std::size_t> unsatisfied{0, 1, 2, 3, 4, 5};
        while (!unsatisfied.empty() && undistributed > total * 1e-9) {
            double weight = 0;
            for (const auto team : unsatisfied)
                weight += weights[team];
            const double round_total = undistributed;
            for (const auto team : unsatisfied) {
                const double addition =
                    std::min(round_total * weights[team] / weight,
                             this->offered_slot_seconds[team] - fair_slot_seconds[team]);
                fair_slot_seconds[team] += addition;
                undistributed -= addition;
            }
            std::erase_if(unsatisfied, [&](std::size_t team) {
                return fair_slot_seconds[team] >= this->offered_slot_seconds[team] * (1 - 1e-9);
            });
        }
        double greatest = 0;
        for (std::size_t team = 0; team < teams; ++team)
            greatest =
                std::max(greatest,
                         std::abs(this->busy_slot_seconds[team] - fair_slot_seconds[team]) / total);
        return greatest;
    }

    const std::vector<arrival>& arrivals;
    share_ledger ledger;
    std::unique_ptr<verbenalever::queue_policy> queue;
    std::unique_ptr<placement_policy> placement;
    placement_index index;
    std::priority_queue<running_work, std::vector<running_work>, std::greater<>> running_by_end;
    monotonic_time now = start_time;
    std::int64_t used_slots = 0;
    double waiting_seconds = 0;
    double busy_while_waiting = 0;
    std::vector<double> busy_slot_seconds;
    std::vector<double> offered_slot_seconds;
    replay_result result;
};

double quantile(std::vector<double>& values, double fraction)
{
    if (values.empty())
        return 0;
    const auto index = static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1));
    std::ranges::nth_element(values, values.begin() + static_cast<std::ptrdiff_t>(index));
    return values[index];
}

void compare(benchmark::State& state, const char* policy, const char* placement)
{
    const auto arrivals = generate_arrivals(static_cast<double>(state.range(0)) / 100);
    replay_result result;
    for (auto _ : state)
        result = replay(arrivals, policy, placement).run();
    state.counters["urgent_p50_ms"] = 1000 * quantile(result.urgent_waits, 0.5);
    state.counters["urgent_p99_ms"] = 1000 * quantile(result.urgent_waits, 0.99);
    state.counters["urgent_started"] = static_cast<double>(result.urgent_waits.size()) /
                                       static_cast<double>(result.urgent_arrivals);
    state.counters["batch_p50_s"] = quantile(result.batch_waits, 0.5);
    state.counters["batch_p99_s"] = quantile(result.batch_waits, 0.99);
    state.counters["batch_started"] = static_cast<double>(result.batch_waits.size());
    state.counters["packing"] = result.packing;
    state.counters["distance"] = result.share_deviation;
}

// NOLINTNEXTLINE(cppcoreguidelines-macro-usage): like the benchmark library's own macros
#define COMPARE(policy, placement)                                                                 \
    BENCHMARK_CAPTURE(compare, policy##_##placement, #policy, #placement)                          \
        ->ArgName("load_percent")                                                                  \
        ->Arg(50)                                                                                  \
        ->Arg(100)                                                                                 \
        ->Arg(200)                                                                                 \
        ->Arg(400)                                                                                 \
        ->Iterations(1)                                                                            \
        ->Unit(benchmark::kMillisecond)

COMPARE(fifo, random_fit);
COMPARE(fifo, best_fit);
COMPARE(share, random_fit);
COMPARE(share, least_loaded);
COMPARE(share, best_fit);
COMPARE(strict, best_fit);

} // namespace
