#include "configuration/operator_configuration.h"
#include "scheduling/policy_factory.h"
#include "scheduling/queue_policy.h"
#include "scheduling/share_ledger.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>
#include <set>

namespace {

using verbenalever::make_queue_policy;
using verbenalever::milliseconds;
using verbenalever::monotonic_time;
using verbenalever::operator_configuration;
using verbenalever::queued_work;
using verbenalever::share_ledger;
using verbenalever::start_verdict;

constexpr monotonic_time start_time{std::chrono::hours(1)};
constexpr const char* configuration_text = R"(
queues:
  quotes: {class: urgent, priority: 0, aging: 1s}
  plans: {class: batch, priority: 1, aging: 2s}
  checks: {class: batch, priority: 2, aging: 3s}
)";

operator_configuration configuration_for(const std::string& policy)
{
    return *operator_configuration::parse("policy: " + policy + configuration_text, "test");
}

queued_work make_work(std::uint64_t id, int queue, int team, milliseconds arrival,
                      milliseconds time_to_deadline)
{
    static const std::vector<std::string> queues{"quotes", "plans", "checks"};
    return {.id = id,
            .queue = queues[static_cast<std::size_t>(queue)],
            .team = "team-" + std::to_string(team),
            .arrival = start_time + arrival,
            .deadline = start_time + arrival + time_to_deadline,
            .demand = {.slots = 1 + team % 2}};
}

bool accept_all(const queued_work&)
{
    return true;
}

/// Adds, removes, starts and expires work at random, moves it to a new policy, and compares the
/// policy with a map of the waiting work.
void check_against_reference_model(const std::string& policy_name)
{
    share_ledger ledger;
    auto configuration = configuration_for(policy_name);
    auto policy = make_queue_policy(configuration, ledger);
    std::map<std::uint64_t, queued_work> model;
    milliseconds now{0};
    const auto steps = *rc::gen::inRange(1, 200);
    for (int step = 0; step < steps; ++step) {
        const auto action = *rc::gen::inRange(0, 8);
        now += milliseconds(*rc::gen::inRange(0, 20));
        const auto id = static_cast<std::uint64_t>(step);
        if (action < 4) {
            auto work = make_work(id, *rc::gen::inRange(0, 3), *rc::gen::inRange(0, 4), now,
                                  milliseconds(*rc::gen::inRange(1, 300)));
            policy->push(work);
            model.emplace(id, work);
        }
        else if (action == 4) {
            const auto other_id = static_cast<std::uint64_t>(*rc::gen::inRange(0, step + 1));
            RC_ASSERT(policy->remove(other_id) == (model.erase(other_id) == 1));
        }
        else if (action == 5) {
            std::set<std::uint64_t> expected_expired;
            std::erase_if(model, [&](const auto& item) {
                const bool is_expired = item.second.deadline <= start_time + now;
                if (is_expired)
                    expected_expired.insert(item.first);
                return is_expired;
            });
            for (const auto& work : policy->pop_expired(start_time + now))
                RC_ASSERT(expected_expired.erase(work.id) == 1U);
            RC_ASSERT(expected_expired.empty());
        }
        else if (action == 6) {
            if (const auto work = policy->pop_next(accept_all, start_time + now)) {
                RC_ASSERT(work->deadline > start_time + now);
                RC_ASSERT(model.erase(work->id) == 1U);
            }
            else {
                for (const auto& [other_id, waiting] : model)
                    RC_ASSERT(waiting.deadline <= start_time + now);
            }
        }
        else {
            policy = verbenalever::replace_queue_policy(*policy, configuration, ledger);
        }
        RC_ASSERT(policy->size() == model.size());
        std::map<std::string, std::size_t> lengths;
        for (const auto& [other_id, waiting] : model)
            ++lengths[waiting.queue];
        for (const auto& queue : {"quotes", "plans", "checks"})
            RC_ASSERT(policy->size_of(queue) == lengths[queue]);
    }
}

RC_GTEST_PROP(queue_policies, fifo_agrees_with_a_reference_model, ())
{
    check_against_reference_model("fifo");
}

RC_GTEST_PROP(queue_policies, strict_agrees_with_a_reference_model, ())
{
    check_against_reference_model("strict");
}

RC_GTEST_PROP(queue_policies, share_agrees_with_a_reference_model, ())
{
    check_against_reference_model("share");
}

/// Whichever work the filter refuses, none that it accepts is left waiting.
void check_work_conservation(const std::string& policy_name)
{
    share_ledger ledger;
    auto policy = make_queue_policy(configuration_for(policy_name), ledger);
    const auto count = *rc::gen::inRange<std::uint64_t>(1, 60);
    for (std::uint64_t id = 0; id < count; ++id)
        policy->push(make_work(id, *rc::gen::inRange(0, 3), *rc::gen::inRange(0, 6),
                               milliseconds(id), milliseconds(100'000)));
    const auto free_slots = *rc::gen::inRange(0, 3);
    const auto refused_teams = *rc::gen::container<std::set<int>>(rc::gen::inRange(0, 6));
    const auto may_start = [&](const queued_work& work) {
        return work.demand.slots <= free_slots && !refused_teams.contains(work.team.back() - '0');
    };
    const auto filter = [&](const queued_work& work) -> start_verdict {
        if (work.demand.slots > free_slots)
            return start_verdict::no_capacity();
        return may_start(work);
    };
    while (const auto work = policy->pop_next(filter, start_time + milliseconds(5000)))
        RC_ASSERT(may_start(*work));
    std::size_t startable_left = 0;
    for (const auto& work : policy->pop_all())
        startable_left += may_start(work) ? 1 : 0;
    RC_ASSERT(startable_left == 0U);
}

RC_GTEST_PROP(queue_policies, strict_is_work_conserving, ())
{
    check_work_conservation("strict");
}

RC_GTEST_PROP(queue_policies, share_is_work_conserving, ())
{
    check_work_conservation("share");
}

TEST(queue_policies, fifo_does_not_start_work_behind_refused_work)
{
    share_ledger ledger;
    const auto policy = make_queue_policy(configuration_for("fifo"), ledger);
    policy->push(make_work(1, 0, 1, milliseconds(0), milliseconds(1000)));
    policy->push(make_work(2, 0, 2, milliseconds(0), milliseconds(1000)));
    EXPECT_FALSE(policy->pop_next([](const queued_work& work) { return work.id == 2; }, start_time)
                     .has_value());
}

TEST(queue_policies, ask_once_per_demand_when_no_target_has_capacity)
{
    constexpr int teams = 800;
    for (const auto* name : {"strict", "share"}) {
        share_ledger ledger;
        const auto policy = make_queue_policy(configuration_for(name), ledger);
        for (int team = 0; team < teams; ++team)
            policy->push(make_work(static_cast<std::uint64_t>(team), team % 3, team,
                                   milliseconds(0), milliseconds(60'000)));
        int filter_calls = 0;
        const auto no_capacity = [&filter_calls](const queued_work&) {
            ++filter_calls;
            return start_verdict::no_capacity();
        };
        EXPECT_FALSE(policy->pop_next(no_capacity, start_time + milliseconds(1)).has_value());
        // Two demands; the share policy searches urgent and other work separately.
        EXPECT_LE(filter_calls, 4) << name;
    }
}

TEST(queue_policies, many_cancellations_remove_only_the_cancelled_work)
{
    constexpr std::uint64_t count = 20'000;
    for (const auto* name : {"fifo", "strict", "share"}) {
        share_ledger ledger;
        const auto policy = make_queue_policy(configuration_for(name), ledger);
        for (std::uint64_t id = 0; id < count; ++id)
            policy->push(make_work(id, static_cast<int>(id % 3), static_cast<int>(id % 800),
                                   milliseconds(0), milliseconds(60'000)));
        for (std::uint64_t id = count; id-- > 0;) {
            if (id % 4 != 0) {
                EXPECT_TRUE(policy->remove(id));
            }
        }
        EXPECT_EQ(policy->size(), count / 4);
        EXPECT_FALSE(policy->remove(1));
        while (const auto work = policy->pop_next(accept_all, start_time))
            EXPECT_EQ(work->id % 4, 0U) << name;
        EXPECT_EQ(policy->size(), 0U);
    }
}

} // namespace
