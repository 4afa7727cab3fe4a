#include "coordinator/coordinator.h"

#include "coordination/commit_chain.h"
#include "coordination/leadership.h"
#include "coordinator/target_session.h"
#include "loop/event_loop.h"
#include "testing/coordinating_process.h"
#include "testing/fake_store.h"
#include "testing/fake_targets.h"
#include "timeline/event_log.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <cstdlib>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace verbenalever {
namespace {

constexpr int fleet = 12;
constexpr milliseconds step_time{15}; ///< from one step of the test to the next
constexpr int steps = 400;
constexpr milliseconds store_outage{700};
constexpr std::int64_t usual_processors = 4000; ///< thousandths of a processor
constexpr int max_processors = 6;
/// Longest time from a change of a target's capacity to its listing.
constexpr int max_heartbeat_ms = 60;
/// Longest time without a readable list. A start may be sent on a list that is 3 s old.
constexpr milliseconds list_outage{400};
/// Time without faults at the end: longer than a quarantine and a task lease.
constexpr milliseconds fault_free_time{9000};

/// Two processes that may coordinate, targets and a store, with random faults from one seed.
///
/// No task may run twice at the same time or again after an acknowledged end, no start may bring a
/// target over the capacity that the list shows, which changes all the time, and all accepted
/// workflows must end. Meant mainly for runs with sanitizers.
class coordinator_faults_test : public testing::TestWithParam<int> {
protected:
    /// The platform's list as one process sees it.
    struct directory_view final : target_directory {
        explicit directory_view(coordinator_faults_test& test)
            : test(test), first(test.loop, [this] { this->test.targets.publish_targets(); })
        {
        }
        void start(listener changed) override
        {
            this->test.listeners[this] = std::move(changed);
            this->first.start_once(milliseconds(1));
        }
        void stop() override
        {
            this->test.listeners.erase(this);
        }
        [[nodiscard]] bool is_current() const override
        {
            return true;
        }
        [[nodiscard]] milliseconds up_to_date_at() const override
        {
            return this->test.targets.up_to_date_at();
        }
        coordinator_faults_test& test;
        timer first;
    };

    /// A process with its own view of the platform's list, and an advisor on each of two VMs.
    struct process {
        process(coordinator_faults_test& test, const std::string& vm)
            : directory(test),
              one(test.loop, test.store, test.targets, this->directory, test.configuration,
                  test.log, vm, [&test](coordinator& active_coordinator) {
                      test.add_advisors(active_coordinator);
                  })
        {
        }

        directory_view directory;
        coordinating_process one;
    };

    coordinator_faults_test()
        : random(static_cast<unsigned>(GetParam())),
          capacity_random(static_cast<unsigned>(GetParam()))
    {
        auto new_configuration = std::make_shared<fleet_configuration>();
        new_configuration->version = 1;
        for (const auto* name : {"urgent", "plain", "advised"})
            new_configuration->queues.push_back(
                {.name = name,
                 .pool = "pool",
                 .priority = static_cast<int>(new_configuration->queues.size()),
                 .attempts = 1000,
                 .latency_objective = milliseconds(1000),
                 .needs_advice = std::string(name) == "advised",
                 .advice_base_ms = 1,
                 .advice_target_ms = 0.1});
        new_configuration->teams.push_back({.name = "team", .keys = {}, .weight = 1, .limit = {}});
        this->configuration = new_configuration;
        this->targets.start([this](const std::vector<target_report>& reports) {
            const auto current_listeners = this->listeners;
            for (const auto& [view, listener] : current_listeners)
                listener(reports);
        });
        for (int number = 0; number < fleet; ++number) {
            auto& added = this->targets.add("t" + std::to_string(number), usual_processors);
            added.task_duration = milliseconds(30);
            added.stop_delay = milliseconds(number % 2 == 0 ? 1 : 40);
        }
    }

    int pick(int most)
    {
        return std::uniform_int_distribution<int>(0, most - 1)(this->random);
    }

    bool chance(double part)
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random) < part;
    }

    void run_for(milliseconds span)
    {
        timer end(this->loop, [this] { this->loop.stop(); });
        end.start_once(span);
        this->loop.run();
    }

    void add_advisors(coordinator& active_coordinator)
    {
        for (const auto* vm : {"a", "b"})
            active_coordinator.advice_dispatch().add_vm(
                vm, [this](const advice_question& question, milliseconds,
                           advice_dispatcher::answer_callback done) {
                    this->advise(question, std::move(done));
                });
    }

    void advise(const advice_question& question, advice_dispatcher::answer_callback done)
    {
        advice_answer answer{.answered = !this->chance(0.1), .valid_ms = 600};
        for (const auto& name : question.targets) {
            // Allows every other target, always the same ones for a workflow, as the real advisor
            // does.
            const auto odd = [](const std::string& text) { return (text.back() - '0') % 2; };
            if (odd(name) == odd(question.workflow))
                answer.granted.push_back({name, "ticket"});
        }
        if (this->chance(0.2)) {
            done(answer);
            return;
        }
        auto& later = this->answers.emplace_back(std::make_unique<timer>(
            this->loop, [answer, done = std::move(done)] { done(answer); }));
        later->start_once(milliseconds(5 + this->pick(30)));
    }

    coordinating_process* leader()
    {
        for (auto& process : this->processes) {
            if (process && process->one.active_coordinator)
                return &process->one;
        }
        return nullptr;
    }

    void submit()
    {
        auto* current_leader = this->leader();
        if (current_leader == nullptr)
            return;
        const auto id = "w" + std::to_string(++this->submitted);
        step_spec step{.count = static_cast<std::uint32_t>(1 + this->pick(4)),
                       .need = {.processors_milli = 1000 * (1 + this->pick(3)), .memory_mb = 100},
                       .estimated_ms = 30,
                       .gang = this->chance(0.3)};
        std::vector<step_spec> all{step};
        if (this->chance(0.3)) {
            all.push_back(step);
            all.back().after = {0};
        }
        this->targets.need_by_workflow[id] = step.need;
        this->description_of[id] =
            fmt::format("{} steps of {} tasks, {} each{}", all.size(), step.count,
                        step.need.processors_milli, step.gang ? ", gang" : "");
        const auto* queue =
            this->configuration->queues[static_cast<std::size_t>(this->pick(3))].name.c_str();
        current_leader->active_coordinator->submit(
            {id, queue, "team", {.payload = "p", .steps = std::move(all)}},
            [this, id](call_outcome outcome, std::int64_t) { this->outcomes[id] = outcome; });
        if (this->chance(0.1))
            current_leader->active_coordinator->cancel(
                id, [this, id](call_outcome) { this->cancelled.insert(id); });
    }

    /// Changes the capacity of a target; the list shows it with the target's next heartbeat.
    void change_capacity()
    {
        const auto name = "t" + std::to_string(this->pick_capacity(fleet));
        auto capacity = this->targets.targets[name]->report.capacity;
        if (this->pick_capacity(4) == 0)
            capacity.memory_mb = 100 * this->pick_capacity(8);
        else
            capacity.processors_milli = 1000 * this->pick_capacity(max_processors + 1);
        this->targets.set_capacity(name, capacity);
        this->list_heartbeat.start_once(milliseconds(1 + this->pick_capacity(max_heartbeat_ms)));
    }

    /// Draws from a sequence of its own, so that the other faults of a seed stay as they are.
    int pick_capacity(int most)
    {
        return std::uniform_int_distribution<int>(0, most - 1)(this->capacity_random);
    }

    void inject_fault()
    {
        const auto name = "t" + std::to_string(this->pick(fleet));
        auto& target = *this->targets.targets[name];
        switch (this->pick(10)) {
        case 0:
            target.unresponsive = true;
            break;
        case 1:
        case 2:
            target.unresponsive = false;
            break;
        case 3:
            target.loses_response = [this](const start_order&) { return this->chance(0.5); };
            break;
        case 4:
            target.loses_response = nullptr;
            break;
        case 5:
            this->targets.restart(name);
            break;
        case 6:
            target.fails_all_tasks = !target.fails_all_tasks;
            break;
        case 7:
            this->store.down = this->chance(0.3);
            this->store_recovery.start_once(store_outage);
            break;
        case 8:
            this->store.responses_to_lose = 1;
            break;
        default:
            this->change_leader();
            break;
        }
    }

    void change_leader()
    {
        auto* current_leader = this->leader();
        if (current_leader == nullptr || this->chance(0.7))
            return;
        if (this->chance(0.5)) {
            current_leader->election.hand_over(milliseconds(100));
            return;
        }
        for (auto& one : this->processes) {
            if (&one->one != current_leader)
                continue;
            one.reset();
            this->store.expire(this->store.lease_of_key["v/leader"]);
            one = std::make_unique<process>(*this, "vm-" + std::to_string(++this->started));
        }
    }

    std::mt19937 random;
    std::mt19937 capacity_random;
    event_loop loop;
    timer store_recovery{this->loop, [this] { this->store.down = false; }};
    fake_store store{this->loop};
    fake_targets targets{this->loop};
    timer list_heartbeat{this->loop, [this] { this->targets.publish_targets(); }};
    timer list_recovery{this->loop, [this] {
                            this->targets.list_stopped_at = milliseconds(0);
                            this->targets.publish_targets();
                        }};
    event_log log{"test"};
    std::shared_ptr<fleet_configuration> configuration;
    std::map<std::string, call_outcome> outcomes;
    std::set<std::string> cancelled;
    std::map<std::string, std::string> description_of;
    std::map<directory_view*, target_directory::listener> listeners;
    std::vector<std::unique_ptr<timer>> answers;
    std::vector<std::unique_ptr<process>> processes;
    int submitted = 0;
    int started = 0;
};

TEST_P(coordinator_faults_test, no_guarantee_is_broken_and_accepted_workflows_end)
{
    for (int number = 0; number < 2; ++number)
        this->processes.push_back(
            std::make_unique<process>(*this, "vm-" + std::to_string(++this->started)));
    this->run_for(milliseconds(300));
    for (int step = 0; step < steps; ++step) {
        if (this->chance(0.5))
            this->submit();
        if (this->chance(0.3))
            this->inject_fault();
        if (this->pick_capacity(4) == 0)
            this->change_capacity();
        if (this->pick_capacity(100) == 0 && !this->list_recovery.active()) {
            this->targets.list_stopped_at = boot_time();
            this->list_recovery.start_once(list_outage);
        }
        this->run_for(step_time);
    }
    this->store.down = false;
    this->run_for(list_outage);
    for (auto& [name, target] : this->targets.targets) {
        target->unresponsive = false;
        target->fails_all_tasks = false;
        target->loses_response = nullptr;
        this->targets.set_capacity(name,
                                   {.processors_milli = usual_processors, .memory_mb = 64'000});
    }
    this->targets.publish_targets();
    this->run_for(fault_free_time);
    for (const auto& violation : this->targets.violations)
        ADD_FAILURE() << violation;
    auto* current_leader = this->leader();
    ASSERT_NE(current_leader, nullptr);
    int accepted = 0;
    for (const auto& [id, outcome] : this->outcomes) {
        if (outcome != call_outcome::accepted)
            continue;
        ++accepted;
        auto state = workflow_state::queued;
        current_leader->active_coordinator->status(
            id, [&state](call_outcome, workflow_state now) { state = now; });
        EXPECT_TRUE(is_final(state)) << id << ": " << this->description_of[id];
        if (!this->cancelled.contains(id) && is_final(state)) {
            EXPECT_EQ(state, workflow_state::completed) << id;
        }
    }
    EXPECT_GT(accepted, 50);
    // Uncounted changes of waiting work would in time make the coordinator refuse all submissions.
    EXPECT_EQ(current_leader->active_coordinator->waiting().ahead(2), waiting_work::amount{});
}

/// @return how many seeds to run; VERBENALEVER_FAULT_SEEDS overrides the default
int seed_count()
{
    constexpr int usual = 6;
    const char* asked = std::getenv("VERBENALEVER_FAULT_SEEDS");
    return asked == nullptr ? usual : std::atoi(asked);
}

INSTANTIATE_TEST_SUITE_P(seeds, coordinator_faults_test, testing::Range(1, 1 + seed_count()));

} // namespace
} // namespace verbenalever
