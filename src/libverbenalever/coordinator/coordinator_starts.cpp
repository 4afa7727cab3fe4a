// Starts: from the choice of a target until it has confirmed the run or turned it away.

#include "coordinator/coordinator.h"
#include "coordinator/target_session.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"

#include <fmt/format.h>

#include <algorithm>

namespace verbenalever {

namespace {

/// A target that has turned a start away gets none for this long.
constexpr milliseconds avoid_time{300};

} // namespace

void coordinator::start_tasks(workflow& owner, std::uint32_t number,
                              const std::vector<fleet_target*>& chosen)
{
    if (chosen.empty())
        return;
    auto& step = owner.steps[number];
    const auto& spec = owner.record.spec.steps[number];
    std::int64_t gang_run = owner.run_base;
    for (const auto& task : step.tasks)
        gang_run = std::max(gang_run, task.run);
    ++gang_run;
    std::uint32_t index = 0;
    for (auto* target : chosen) {
        while (index < step.tasks.size() && step.tasks[index].at != workflow_task::phase::waiting)
            ++index;
        if (index == step.tasks.size()) {
            // More tasks are counted as waiting than do wait.
            this->around.count.add("waiting_miscounted");
            this->around.log.write("coordinator", "waiting_miscounted",
                                   {{"workflow", owner.record.id},
                                    {"step", number},
                                    {"waiting", step.waiting},
                                    {"done", step.done},
                                    {"tasks", step.tasks.size()}});
            break;
        }
        auto& task = step.tasks[index];
        const task_name name{owner.record.id, 0, number, index};
        task.at = workflow_task::phase::placed;
        task.target = target;
        task.run = spec.gang ? gang_run : std::max(task.run, owner.run_base) + 1;
        --step.waiting;
        ++owner.placed;
        this->teams.add_run(owner.record.team, spec.need, owner.urgent());
        const auto batch = this->placements.add({owner.record.id, 0, number, index, task.run,
                                                 target->report.name, target->report.born_ms});
        target->add_run(name,
                        {.owner = &owner, .run = task.run, .need = spec.need, .batch = batch});
    }
    if (step.waiting == 0)
        this->unlist(owner, number);
}

bool coordinator::ticket_holds(const workflow& owner, std::uint32_t number,
                               const std::string& target) const
{
    const auto& memory = owner.steps[number].advice;
    const auto said = memory.find(target);
    return said == memory.end() || said->second.valid_until > boot_time();
}

void coordinator::send_starts(const std::vector<placement_entry>& kept)
{
    for (const auto& entry : kept) {
        auto* target = this->find_target(entry.target, entry.target_born_ms);
        if (target == nullptr)
            continue;
        const auto found = target->tasks.find(entry.task());
        if (found == target->tasks.end() || found->second.run != entry.run ||
            found->second.start_sent)
            continue;
        auto& owner = *found->second.owner;
        if (is_final(owner.state)) {
            this->stop_run(*target, entry.task(), entry.run);
            continue;
        }
        if (!owner.stored) {
            // Its place was kept before it was: a batch may stand before the record in the chain.
            owner.starts_waiting.push_back(entry);
            continue;
        }
        if (!this->ticket_holds(owner, entry.step, entry.target)) {
            // It has run out while the store was slow: another place, or another ticket.
            this->stop_run(*target, entry.task(), entry.run);
            continue;
        }
        if (!target->session->can_grant_lease()) {
            // It has fallen silent while its place was being kept.
            this->stop_run(*target, entry.task(), entry.run);
            continue;
        }
        found->second.start_sent = true;
        this->send_start(*target, entry.task());
        target->session->set_polling(true);
    }
}

void coordinator::send_start(fleet_target& target, const task_name& name)
{
    const auto found = target.tasks.find(name);
    if (found == target.tasks.end() || found->second.owner == nullptr ||
        is_final(found->second.owner->state) || !target.session->can_grant_lease())
        return;
    auto& placed = found->second;
    const auto& owner = *placed.owner;
    const auto& step = owner.steps[name.step];
    const bool gang = owner.record.spec.steps[name.step].gang;
    start_order order{.task = name, .run = placed.run, .payload = owner.record.spec.payload};
    order.checkpoint = step.tasks[gang ? 0 : name.index].checkpoint;
    if (const auto said = step.advice.find(target.report.name); said != step.advice.end())
        order.ticket = said->second.ticket;
    placed.last_order_at = boot_time();
    ++placed.unanswered_starts;
    target.session->start(order, [this, alive = this->alive, &target, name,
                                  run = placed.run](const order_result& result) {
        if (*alive)
            this->take_start(target, name, run, result);
    });
}

void coordinator::take_start(fleet_target& target, const task_name& name, std::int64_t run,
                             const order_result& result)
{
    const auto found = target.tasks.find(name);
    if (found == target.tasks.end() || found->second.run != run)
        return;
    auto& placed = found->second;
    --placed.unanswered_starts;
    placed.last_order_at = boot_time();
    if (result.how == order_result::outcome::done) {
        placed.started = true;
        placed.started_at = boot_time();
        if (!placed.stopping)
            placed.order_confirmed_at = boot_time();
        if (placed.owner != nullptr) {
            if (!placed.owner->began) {
                placed.owner->began_at = boot_time();
                this->around.count.observe(
                    fmt::format("wait_to_start_priority_{}", placed.owner->priority),
                    placed.owner->began_at - placed.owner->accepted_at);
            }
            placed.owner->began = true;
        }
        this->around.count.add("tasks_started");
        return;
    }
    if (result.how == order_result::outcome::unknown)
        return; // sent again after a while, or found by a look
    if (!placed.stopping && !placed.started)
        this->start_refused(target, name, result);
}

void coordinator::start_refused(fleet_target& target, const task_name& name,
                                const order_result& result)
{
    auto& owner = *target.tasks.at(name).owner;
    this->around.log.write("coordinator", "start_refused",
                           {{"workflow", name.workflow},
                            {"step", name.step},
                            {"index", name.index},
                            {"target", target.report.name},
                            {"reason", static_cast<int>(result.how)}});
    target.start_backoff_until = boot_time() + avoid_time;
    if (result.how == order_result::outcome::bad_ticket) {
        auto& said = owner.steps[name.step].advice[target.report.name];
        said.valid_until = milliseconds(0);
        target.start_backoff_until = milliseconds(0);
    }
    // An earlier sending of the order may still arrive: only a stop makes sure that it does
    // nothing.
    this->stop_run(target, name, target.tasks.at(name).run);
}

} // namespace verbenalever
