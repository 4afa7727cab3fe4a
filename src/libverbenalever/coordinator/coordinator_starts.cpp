// Starts of tasks: from the choice of a target until it confirms or refuses the run.

#include "coordinator/coordinator.h"
#include "coordinator/target_session.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"

#include <fmt/format.h>

#include <algorithm>

namespace verbenalever {

namespace {

/// No start is sent to a target for this long after it has refused one.
constexpr milliseconds refusal_backoff{300};
/// A step that was refused for want of a ticket does not use the target for this long, so that the
/// configuration that demands it can arrive.
constexpr milliseconds missing_ticket_backoff{1000};

} // namespace

void coordinator::place_tasks(workflow& owner, std::uint32_t step_index,
                              const std::vector<fleet_target*>& assigned, bool suspects)
{
    if (assigned.empty())
        return;
    auto& step = owner.steps[step_index];
    const auto& spec = owner.record.spec.steps[step_index];
    std::int64_t gang_run = owner.run_number_base;
    for (const auto& task : step.tasks)
        gang_run = std::max(gang_run, task.run);
    ++gang_run;
    const bool suspect_gang = spec.gang && this->is_suspect(owner, step_index, 0);
    std::uint32_t index = 0;
    for (auto* target : assigned) {
        while (index < step.tasks.size() &&
               (step.tasks[index].current_phase != workflow_task::phase::waiting ||
                (!spec.gang && this->is_suspect(owner, step_index, index) != suspects)))
            ++index;
        if (index == step.tasks.size()) {
            // waiting_count exceeds the number of tasks in phase waiting.
            this->env.metrics.add("waiting_miscounted");
            this->env.log.write("coordinator", "waiting_miscounted",
                                {{"workflow", owner.record.id},
                                 {"step", step_index},
                                 {"waiting", step.waiting_count},
                                 {"done", step.done_count},
                                 {"tasks", step.tasks.size()}});
            break;
        }
        auto& task = step.tasks[index];
        const task_name name{owner.record.id, 0, step_index, index};
        task.current_phase = workflow_task::phase::placed;
        task.target = target;
        task.run = spec.gang ? gang_run : std::max(task.run, owner.run_number_base) + 1;
        --step.waiting_count;
        ++owner.placed_count;
        this->count_run(owner, spec.need);
        const auto late =
            this->unanswered_start_end(owner, step_index, target->report.name) - boot_time();
        const auto batch = this->placements.add({.workflow = owner.record.id,
                                                 .step = step_index,
                                                 .index = index,
                                                 .run = task.run,
                                                 .target = target->report.name,
                                                 .target_born_ms = target->report.born_ms,
                                                 .late_ms = late.count()});
        const bool suspect = spec.gang ? suspect_gang : suspects;
        target->add_run(name, {.owner = &owner,
                               .run = task.run,
                               .need = spec.need,
                               .batch = batch,
                               .suspect = suspect});
        if (suspect) {
            step.suspects_wait_since = milliseconds(0);
            isolate(*target, task.crashes.crashes_late());
        }
    }
    if (step.waiting_count == 0)
        this->remove_from_ready(owner, step_index);
    this->update_waiting_work(owner);
}

bool coordinator::ticket_valid(const workflow& owner, std::uint32_t step_index,
                               const std::string& target) const
{
    if (!owner.definition->needs_advice)
        return true;
    const auto& advice = owner.steps[step_index].advice;
    const auto answer = advice.find(target);
    return answer != advice.end() && answer->second.valid_until > boot_time();
}

fleet_target* coordinator::find_unsent_run(const placement_entry& entry)
{
    auto* target = this->find_target(entry.target, entry.target_born_ms);
    if (target == nullptr)
        return nullptr;
    const auto found = target->tasks.find(entry.task());
    const bool unsent =
        found != target->tasks.end() && found->second.run == entry.run && !found->second.start_sent;
    return unsent ? target : nullptr;
}

std::string_view coordinator::reason_to_withdraw(const fleet_target& target,
                                                 const placement_entry& entry) const
{
    const auto& placed = target.tasks.at(entry.task());
    if (!this->ticket_valid(*placed.owner, entry.step, entry.target))
        return "ticket";
    if (!target.can_start(placed.need))
        return "capacity";
    if (!this->list_is_recent())
        return "list";
    if (target.restarted)
        return "reborn";
    const bool silent = !target.session->can_grant_lease() ||
                        this->silent_zones.is_silent(target.report.availability_zone, boot_time());
    return silent ? "silent" : "";
}

void coordinator::send_start_orders(const std::vector<placement_entry>& stored_placements)
{
    // Storing takes time, in which tickets expire, capacities shrink and targets stop answering.
    // The members of a gang are stored together: none is sent before all have been examined.
    for (const auto& entry : stored_placements) {
        auto* target = this->find_unsent_run(entry);
        if (target == nullptr)
            continue;
        const auto& owner = *target->tasks.at(entry.task()).owner;
        if (is_final(owner.state)) {
            this->stop_run(*target, entry.task(), entry.run);
            continue;
        }
        if (!owner.record_stored)
            continue;
        if (const auto reason = this->reason_to_withdraw(*target, entry); !reason.empty())
            this->withdraw_start(*target, entry.task(), reason);
    }
    for (const auto& entry : stored_placements) {
        auto* target = this->find_unsent_run(entry);
        if (target == nullptr)
            continue;
        auto& placed = target->tasks.at(entry.task());
        if (!placed.owner->record_stored) {
            // A batch of placements may be written before the workflow's record.
            placed.owner->starts_after_record_stored.push_back(entry);
            continue;
        }
        placed.start_sent = true;
        this->send_start_order(*target, entry.task());
        this->update_polling(*target);
    }
}

void coordinator::withdraw_start(fleet_target& target, const task_name& name,
                                 std::string_view reason)
{
    const auto& placed = target.tasks.at(name);
    this->env.metrics.add("starts_withdrawn");
    this->env.log.write("coordinator", "start_withdrawn",
                        {{"workflow", name.workflow},
                         {"step", name.step},
                         {"index", name.index},
                         {"run", placed.run},
                         {"target", target.report.name},
                         {"reason", reason},
                         {"sent", placed.start_sent}});
    auto& owner = *placed.owner;
    this->stop_run(target, name, placed.run);
    // The other members would wait for this one in vain.
    if (owner.record.spec.steps[name.step].gang)
        this->stop_step(owner, name.step);
}

start_order coordinator::make_start_order(const fleet_target& target, const task_name& name) const
{
    const auto& placed = target.tasks.at(name);
    const auto& owner = *placed.owner;
    const auto& step = owner.steps[name.step];
    const bool gang = owner.record.spec.steps[name.step].gang;
    start_order order{.task = name, .run = placed.run, .payload = owner.record.spec.payload};
    order.checkpoint = step.tasks[gang ? 0 : name.index].checkpoint;
    if (const auto answer = step.advice.find(target.report.name); answer != step.advice.end())
        order.ticket = answer->second.ticket;
    return order;
}

milliseconds coordinator::unanswered_start_end(const workflow& owner, std::uint32_t step_index,
                                               const std::string& target) const
{
    const auto end = boot_time() + this->env.unanswered_start_limit;
    // A target refuses a ticket that has expired, in its next life too.
    const auto& advice = owner.steps[step_index].advice;
    const auto answer = advice.find(target);
    return answer == advice.end() || answer->second.ticket.empty()
               ? end
               : std::min(end, answer->second.valid_until);
}

void coordinator::send_start_order(fleet_target& target, const task_name& name)
{
    const auto found = target.tasks.find(name);
    if (found == target.tasks.end() || found->second.stopping || found->second.owner == nullptr ||
        is_final(found->second.owner->state) || !target.session->can_grant_lease())
        return;
    auto& placed = found->second;
    placed.last_order_at = boot_time();
    if (placed.start_sent_at.count() == 0)
        placed.start_sent_at = boot_time();
    ++placed.unanswered_starts;
    placed.unanswered_until =
        this->unanswered_start_end(*placed.owner, name.step, target.report.name);
    target.session->start(this->make_start_order(target, name),
                          this->start_result_handler(target, name, placed.run));
}

void coordinator::repeat_start_order(fleet_target& target, const task_name& name)
{
    auto& placed = target.tasks.at(name);
    if (placed.start_repeated || placed.started || placed.stopping || placed.owner == nullptr ||
        is_final(placed.owner->state) || target.restarted || !target.session->can_repeat_start() ||
        !this->list_is_recent() ||
        this->silent_zones.is_silent(target.report.availability_zone, boot_time()))
        return; // resend_orders() sends it once the target answers, unless a poll shows the run
                // first
    if (!target.can_start(placed.need)) {
        this->withdraw_start(target, name, "capacity");
        return;
    }
    placed.start_repeated = true;
    ++placed.unanswered_starts;
    placed.unanswered_until =
        this->unanswered_start_end(*placed.owner, name.step, target.report.name);
    target.session->repeat_start(this->make_start_order(target, name),
                                 this->start_result_handler(target, name, placed.run));
}

target_orders::order_callback
coordinator::start_result_handler(fleet_target& target, const task_name& name, std::int64_t run)
{
    return [this, alive = this->alive, &target, name, run](const order_result& result) {
        if (*alive)
            this->handle_start_result(target, name, run, result);
    };
}

void coordinator::handle_start_result(fleet_target& target, const task_name& name, std::int64_t run,
                                      const order_result& result)
{
    const auto found = target.tasks.find(name);
    if (found == target.tasks.end() || found->second.run != run)
        return;
    auto& placed = found->second;
    --placed.unanswered_starts;
    placed.last_order_at = boot_time();
    if (result.how != order_result::outcome::unknown && !placed.answer_missed)
        placed.unanswered_until = milliseconds(0);
    if (result.how != order_result::outcome::unknown)
        this->silent_zones.record_answer(target.report.availability_zone, boot_time());
    if (result.how == order_result::outcome::done) {
        placed.started = true;
        placed.started_at = boot_time();
        placed.in_later_life = target.session->answered_by_later_life();
        update_isolation(target, placed);
        if (!placed.stopping)
            placed.order_confirmed_at = boot_time();
        if (placed.owner != nullptr) {
            if (!placed.owner->has_started) {
                placed.owner->first_start_at = boot_time();
                this->env.metrics.observe(
                    fmt::format("wait_to_start_priority_{}", placed.owner->priority),
                    placed.owner->first_start_at - placed.owner->accepted_at);
            }
            placed.owner->has_started = true;
        }
        this->env.metrics.add("tasks_started");
        return;
    }
    if (result.how == order_result::outcome::unknown) {
        placed.answer_missed = true;
        this->store_unanswered_start(target, name, placed);
        this->repeat_start_order(target, name);
        return;
    }
    if (!placed.stopping && !placed.started)
        this->handle_refused_start(target, name, result);
}

void coordinator::handle_refused_start(fleet_target& target, const task_name& name,
                                       const order_result& result)
{
    auto& owner = *target.tasks.at(name).owner;
    this->env.log.write("coordinator", "start_refused",
                        {{"workflow", name.workflow},
                         {"step", name.step},
                         {"index", name.index},
                         {"target", target.report.name},
                         {"reason", static_cast<int>(result.how)},
                         {"advised", owner.definition->needs_advice},
                         {"ticket", !this->make_start_order(target, name).ticket.empty()}});
    target.start_backoff_until = boot_time() + refusal_backoff;
    if (result.how == order_result::outcome::bad_ticket) {
        target.start_backoff_until = milliseconds(0);
        auto& step = owner.steps[name.step];
        if (const auto answer = step.advice.find(target.report.name);
            answer != step.advice.end() && !answer->second.ticket.empty()) {
            answer->second.valid_until = milliseconds(0);
        }
        else {
            // The target knows a newer definition of the queue, which says nothing of what the
            // advisor allows.
            this->definitions.require_advice(owner.record.queue);
            step.avoided_until[target.report.name] = boot_time() + missing_ticket_backoff;
        }
    }
    // An earlier copy of the start order may still arrive: only a stop order makes sure that it has
    // no effect.
    this->stop_run(target, name, target.tasks.at(name).run);
}

} // namespace verbenalever
