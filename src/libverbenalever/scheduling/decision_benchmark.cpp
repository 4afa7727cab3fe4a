// Measures the time of one scheduling decision: placement alone, queue operations alone, and both
// together with the share ledger.

#include "scheduling/fifo_queue.h"
#include "scheduling/placement_index.h"
#include "scheduling/placement_policy.h"
#include "scheduling/policy_factory.h"
#include "scheduling/refusal_cache.h"
#include "scheduling/share_queue.h"
#include "scheduling/strict_queue.h"

#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <deque>
#include <random>

namespace {

using verbenalever::milliseconds;
using verbenalever::monotonic_time;
using verbenalever::placement_candidate;
using verbenalever::placement_index;
using verbenalever::queue_policy;
using verbenalever::queued_work;
using verbenalever::resources;
using verbenalever::share_ledger;
using verbenalever::start_verdict;

constexpr monotonic_time start_time{std::chrono::hours(1)};
constexpr std::int64_t slots_per_target = 8;
constexpr resources single_slot_demand{.slots = 1, .processors_milli = 2000, .memory_mb = 8000};
constexpr resources target_capacity{
    .slots = slots_per_target, .processors_milli = 16000, .memory_mb = 64000};

placement_index make_index(std::size_t targets)
{
    std::vector<placement_candidate> candidates;
    for (std::size_t i = 0; i < targets; ++i)
        candidates.push_back(
            {.index = i, .capacity = target_capacity, .free = target_capacity, .rack = "rack"});
    placement_index index;
    index.assign(std::move(candidates));
    return index;
}

queued_work make_work(std::uint64_t id, std::uint64_t teams, monotonic_time now)
{
    return {.id = id,
            .queue = id % 4 == 0 ? "urgent" : "batch",
            .team = fmt::format("team-{}", id % teams),
            .arrival = now,
            .deadline = now + milliseconds(60'000),
            .demand = single_slot_demand};
}

std::unique_ptr<queue_policy> make_queue(int policy, share_ledger& ledger)
{
    const verbenalever::flow_queue::rules_by_queue rules{
        {"urgent", {.urgent = true, .priority = 0}}, {"batch", {.priority = 1}}};
    if (policy == 0)
        return std::make_unique<verbenalever::fifo_queue>();
    if (policy == 1)
        return std::make_unique<verbenalever::strict_queue>(rules);
    return std::make_unique<verbenalever::share_queue>(rules, ledger);
}

/// Placement on a nearly full fleet: each iteration releases one random slot and places again.
/// Range: number of targets.
void place(benchmark::State& state, const char* name)
{
    auto index = make_index(static_cast<std::size_t>(state.range(0)));
    const auto policy = verbenalever::make_placement_policy(name);
    const auto admit_all = [](std::size_t) { return true; };
    std::vector<std::size_t> positions_in_use;
    while (const auto chosen = policy->choose(index, single_slot_demand, admit_all)) {
        index.set_free(*chosen, index.candidates()[*chosen].free - single_slot_demand);
        positions_in_use.push_back(*chosen);
    }
    std::mt19937 random(1);
    for (auto _ : state) {
        const auto released_index = random() % positions_in_use.size();
        index.set_free(positions_in_use[released_index],
                       index.candidates()[positions_in_use[released_index]].free +
                           single_slot_demand);
        positions_in_use[released_index] = *policy->choose(index, single_slot_demand, admit_all);
        index.set_free(positions_in_use[released_index],
                       index.candidates()[positions_in_use[released_index]].free -
                           single_slot_demand);
    }
}
BENCHMARK_CAPTURE(place, least_loaded, "least_loaded")->Arg(50)->Arg(400)->Arg(1200);
BENCHMARK_CAPTURE(place, two_choices, "two_choices")->Arg(50)->Arg(400)->Arg(1200);
BENCHMARK_CAPTURE(place, best_fit, "best_fit")->Arg(50)->Arg(400)->Arg(1200);
BENCHMARK_CAPTURE(place, spread, "spread")->Arg(50)->Arg(400)->Arg(1200);
BENCHMARK_CAPTURE(place, random_fit, "random_fit")->Arg(50)->Arg(400)->Arg(1200);
BENCHMARK_CAPTURE(place, first_fit, "first_fit")->Arg(50)->Arg(400)->Arg(1200);

/// Two arrivals, one decision and one cancellation in a long queue. Range: policy (0 fifo, 1
/// strict, 2 share), work waiting, teams.
void queue_step(benchmark::State& state)
{
    share_ledger ledger;
    const auto queue = make_queue(static_cast<int>(state.range(0)), ledger);
    const auto waiting = static_cast<std::uint64_t>(state.range(1));
    const auto teams = static_cast<std::uint64_t>(state.range(2));
    std::uint64_t id = 0;
    while (id < waiting)
        queue->push(make_work(++id, teams, start_time));
    auto now = start_time;
    std::mt19937 random(1);
    for (auto _ : state) {
        now += std::chrono::microseconds(1);
        queue->push(make_work(++id, teams, now));
        queue->push(make_work(++id, teams, now));
        benchmark::DoNotOptimize(queue->pop_next([](const queued_work&) { return true; }, now));
        queue->remove(id - random() % waiting);
    }
}
BENCHMARK(queue_step)
    ->ArgNames({"kind", "waiting", "teams"})
    ->ArgsProduct({{0, 1, 2}, {1000, 10'000, 100'000}, {6, 800}});

/// A decision on a full fleet, which then happens at each arrival. Range: policy (0 fifo, 1 strict,
/// 2 share), teams.
void refused_decision(benchmark::State& state)
{
    share_ledger ledger;
    const auto queue = make_queue(static_cast<int>(state.range(0)), ledger);
    const auto teams = static_cast<std::uint64_t>(state.range(1));
    for (std::uint64_t id = 0; id < 10'000; ++id)
        queue->push(make_work(id, teams, start_time));
    for (auto _ : state)
        benchmark::DoNotOptimize(queue->pop_next(
            [](const queued_work&) { return start_verdict::no_capacity(); }, start_time));
}
BENCHMARK(refused_decision)->ArgNames({"kind", "teams"})->ArgsProduct({{0, 1, 2}, {6, 800}});

/// A decision with free capacity while every waiting team has reached its limit. Range: targets,
/// teams, whether the refusal cache is used.
void decision_at_limits(benchmark::State& state)
{
    share_ledger ledger;
    const auto queue = make_queue(2, ledger);
    const auto index = make_index(static_cast<std::size_t>(state.range(0)));
    const auto placement = verbenalever::make_placement_policy("least_loaded");
    const auto teams = static_cast<std::uint64_t>(state.range(1));
    for (std::uint64_t id = 0; id < 10'000; ++id)
        queue->push(make_work(id, teams, start_time));
    verbenalever::refusal_cache refusals;
    const auto at_limit = [&](const queued_work& work) -> start_verdict {
        if (state.range(2) != 0 && refusals.contains(work.team, work.demand, start_time))
            return false;
        refusals.add(work.team, work.demand, start_time);
        return placement->choose(index, work.demand, [](std::size_t) { return false; }).has_value();
    };
    for (auto _ : state)
        benchmark::DoNotOptimize(queue->pop_next(at_limit, start_time));
}
BENCHMARK(decision_at_limits)
    ->ArgNames({"targets", "teams", "memory"})
    ->ArgsProduct({{400}, {6, 800}, {0, 1}});

/// Release, arrival, queue decision, placement and ledger update together on a full fleet. Range:
/// targets, teams.
void whole_decision(benchmark::State& state)
{
    share_ledger ledger;
    const auto targets = static_cast<std::size_t>(state.range(0));
    const auto teams = static_cast<std::uint64_t>(state.range(1));
    ledger.set_capacity({.slots = slots_per_target * state.range(0),
                         .processors_milli = target_capacity.processors_milli * state.range(0),
                         .memory_mb = target_capacity.memory_mb * state.range(0)});
    const auto queue = make_queue(2, ledger);
    const auto placement = verbenalever::make_placement_policy("least_loaded");
    auto index = make_index(targets);
    auto now = start_time;
    std::uint64_t id = 0;
    std::deque<queued_work> running;
    std::deque<std::size_t> targets_in_use;
    const auto start = [&](const queued_work& work) -> start_verdict {
        const auto chosen = placement->choose(index, work.demand, [](std::size_t) { return true; });
        if (!chosen)
            return start_verdict::no_capacity();
        index.set_free(*chosen, index.candidates()[*chosen].free - work.demand);
        ledger.add_local_usage(work.team, work.demand, now);
        running.push_back(work);
        targets_in_use.push_back(*chosen);
        return true;
    };
    while (id < targets * slots_per_target + 10'000)
        queue->push(make_work(++id, teams, now));
    while (queue->pop_next(start, now)) {
    }
    for (auto _ : state) {
        now += std::chrono::microseconds(200);
        const auto target = targets_in_use.front();
        const auto team = running.front().team;
        queue->work_ended(running.front().id);
        running.pop_front();
        targets_in_use.pop_front();
        index.set_free(target, index.candidates()[target].free + single_slot_demand);
        ledger.add_local_usage(team, resources{} - single_slot_demand, now);
        queue->push(make_work(++id, teams, now));
        while (queue->pop_next(start, now)) {
        }
    }
    state.SetItemsProcessed(state.iterations());
}
BENCHMARK(whole_decision)->ArgNames({"targets", "teams"})->ArgsProduct({{50, 400, 1200}, {6, 800}});

} // namespace
