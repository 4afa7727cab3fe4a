#include "scheduling/placement_policy.h"

#include "configuration/operator_configuration.h"
#include "scheduling/placement_index.h"
#include "scheduling/placement_policy_table.h"
#include "scheduling/policy_factory.h"
#include "scheduling/spread_placement.h"
#include "scheduling/target_slowness_tracker.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace {

using verbenalever::make_placement_policy;
using verbenalever::placement_candidate;
using verbenalever::placement_index;
using verbenalever::resources;

constexpr const char* policy_names[] = {"least_loaded", "best_fit",   "spread",
                                        "two_choices",  "random_fit", "first_fit"};
constexpr const char* racks[] = {"rack-1", "rack-2", "rack-3"};

resources arbitrary_amounts(std::int64_t upper_bound)
{
    return {.slots = *rc::gen::inRange<std::int64_t>(0, upper_bound),
            .processors_milli = *rc::gen::inRange<std::int64_t>(0, upper_bound),
            .memory_mb = *rc::gen::inRange<std::int64_t>(0, upper_bound),
            .accelerators = *rc::gen::inRange<std::int64_t>(0, 3)};
}

placement_index arbitrary_index()
{
    std::vector<placement_candidate> candidates;
    const auto count = *rc::gen::inRange<std::size_t>(0, 20);
    for (std::size_t i = 0; i < count; ++i) {
        const auto capacity = arbitrary_amounts(20);
        candidates.push_back(
            {.index = i, .capacity = capacity, .free = capacity, .rack = racks[i % 3]});
    }
    placement_index index;
    index.assign(candidates);
    return index;
}

RC_GTEST_PROP(placement_policies, choose_an_admitted_candidate_with_capacity_whenever_there_is_one,
              ())
{
    auto index = arbitrary_index();
    const auto policy = make_placement_policy(*rc::gen::elementOf(
        std::vector<std::string>(std::begin(policy_names), std::end(policy_names))));
    const auto refused =
        *rc::gen::container<std::set<std::size_t>>(rc::gen::inRange<std::size_t>(0, 20));
    for (int step = 0; step < 30; ++step) {
        const auto demand = arbitrary_amounts(8);
        bool any_fits = false;
        bool any_admitted = false;
        for (const auto& candidate : index.candidates()) {
            const bool fits = demand.fits_within(candidate.free);
            any_fits = any_fits || fits;
            any_admitted = any_admitted || (fits && !refused.contains(candidate.index));
        }
        RC_ASSERT(index.has_capacity(demand) == any_fits);
        const auto chosen = policy->choose(index, demand, [&refused](std::size_t position) {
            return !refused.contains(position);
        });
        RC_ASSERT(chosen.has_value() == any_admitted);
        if (!chosen)
            continue;
        RC_ASSERT(!refused.contains(*chosen));
        const auto free = index.candidates()[*chosen].free;
        RC_ASSERT(demand.fits_within(free));
        index.set_free(*chosen, free - demand);
    }
}

/// Place @p count pieces of work of one slot on eight targets with eight slots each.
/// @return the free slots of each target afterwards
std::multiset<std::int64_t> place_one_slot_work(const char* policy_name, int count)
{
    std::vector<placement_candidate> candidates;
    for (std::size_t i = 0; i < 8; ++i)
        candidates.push_back(
            {.index = i, .capacity = {.slots = 8}, .free = {.slots = 8}, .rack = racks[i % 2]});
    placement_index index;
    index.assign(candidates);
    const auto policy = make_placement_policy(policy_name);
    for (int i = 0; i < count; ++i) {
        const auto chosen = policy->choose(index, {.slots = 1}, [](std::size_t) { return true; });
        index.set_free(*chosen, index.candidates()[*chosen].free - resources{.slots = 1});
    }
    std::multiset<std::int64_t> free;
    for (const auto& candidate : index.candidates())
        free.insert(candidate.free.slots);
    return free;
}

TEST(placement_policies, best_fit_fills_targets_one_by_one_and_least_loaded_evenly)
{
    EXPECT_EQ(place_one_slot_work("best_fit", 16),
              (std::multiset<std::int64_t>{0, 0, 8, 8, 8, 8, 8, 8}));
    EXPECT_EQ(place_one_slot_work("least_loaded", 16),
              (std::multiset<std::int64_t>{6, 6, 6, 6, 6, 6, 6, 6}));
}

TEST(placement_policies, spread_places_equally_on_racks_although_one_has_more_free_capacity)
{
    std::vector<placement_candidate> candidates;
    for (std::size_t i = 0; i < 9; ++i)
        candidates.push_back({.index = i,
                              .capacity = {.slots = 16},
                              .free = {.slots = i % 3 == 0 ? 16 : 4},
                              .rack = racks[i % 3]});
    placement_index index;
    index.assign(candidates);
    verbenalever::spread_placement policy;
    std::map<std::string, int> by_rack;
    for (int i = 0; i < 9; ++i) {
        const auto chosen = policy.choose(index, {.slots = 1}, [](std::size_t) { return true; });
        ++by_rack[std::string(index.candidates()[*chosen].rack)];
        index.set_free(*chosen, index.candidates()[*chosen].free - resources{.slots = 1});
    }
    for (const auto* rack : racks)
        EXPECT_EQ(by_rack[rack], 3) << rack;
}

/// @param slow_factor how many times longer than the others the first target takes to answer
/// @return how many of the last hundred of 300 requests are sent to that target
int requests_sent_to_slow_target(const std::string& policy_name, int slow_factor)
{
    constexpr const char* names[] = {"a", "b", "c", "d"};
    std::vector<placement_candidate> candidates;
    for (std::size_t i = 0; i < 4; ++i)
        candidates.push_back({.index = i,
                              .capacity = {.slots = 4},
                              .free = {.slots = 4},
                              .rack = racks[0],
                              .target = names[i]});
    placement_index index;
    index.assign(candidates);
    verbenalever::placement_policy_table table;
    table.configure(*verbenalever::operator_configuration::parse(
        "queues: {urgent: {placement: " + policy_name + "}}", "test"));
    auto now = verbenalever::monotonic_time(std::chrono::hours(1));
    int sent_to_slow = 0;
    for (int request = 0; request < 300; ++request) {
        const auto chosen = *table.policy_for("urgent").choose(index, {.slots = 1},
                                                               [](std::size_t) { return true; });
        table.slowness_tracker().request_sent(names[chosen], now);
        const auto response_time = verbenalever::milliseconds(chosen == 0 ? 10 * slow_factor : 10);
        now += response_time;
        table.slowness_tracker().request_answered(names[chosen], "urgent", response_time, now);
        sent_to_slow += request >= 200 && chosen == 0 ? 1 : 0;
    }
    return sent_to_slow;
}

TEST(placement_policies, expected_finish_avoids_a_slow_target)
{
    EXPECT_LE(requests_sent_to_slow_target("expected_finish", 4), 20);
    EXPECT_GT(requests_sent_to_slow_target("random_fit", 4), 10);
}

TEST(target_slowness_tracker, unanswered_requests_raise_slowness_until_an_answer)
{
    verbenalever::target_slowness_tracker tracker;
    const verbenalever::monotonic_time start_time(std::chrono::hours(1));
    for (int i = 0; i < 50; ++i) {
        tracker.request_sent("a", start_time);
        tracker.request_answered("a", "urgent", verbenalever::milliseconds(10), start_time);
    }
    EXPECT_NEAR(tracker.slowness("a"), 1, 0.01);
    tracker.request_sent("a", start_time);
    tracker.request_sent("b", start_time + verbenalever::milliseconds(500));
    EXPECT_GT(tracker.slowness("a"), 10);
    tracker.request_answered("a", "urgent", verbenalever::milliseconds(10),
                             start_time + verbenalever::milliseconds(501));
    EXPECT_NEAR(tracker.slowness("a"), 1, 0.01);
}

TEST(placement_policies, best_fit_places_work_without_accelerators_on_targets_without_them)
{
    placement_index index;
    index.assign({{.index = 0,
                   .capacity = {.slots = 8, .accelerators = 4},
                   .free = {.slots = 8, .accelerators = 4},
                   .rack = racks[0]},
                  {.index = 1, .capacity = {.slots = 8}, .free = {.slots = 8}, .rack = racks[0]}});
    const auto policy = make_placement_policy("best_fit");
    EXPECT_EQ(policy->choose(index, {.slots = 1}, [](std::size_t) { return true; }), 1U);
}

} // namespace
