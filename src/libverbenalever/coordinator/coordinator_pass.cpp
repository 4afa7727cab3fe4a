// Placing: which steps are considered in which order, and how their tasks are started.

#include "coordination/commit_chain.h"
#include "coordination/leadership.h"
#include "coordinator/coordinator.h"
#include "coordinator/step_placer.h"
#include "coordinator/target_session.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"

#include <fmt/format.h>

#include <algorithm>

namespace verbenalever {

namespace {

/// A ticket is not used when it has less than this left, since the start takes time to arrive.
constexpr milliseconds ticket_slack{150};
/// Wait before the advisor is asked again after it was busy.
constexpr milliseconds advice_retry{15};
/// Part of the targets that the advisor allows, until there is experience.
constexpr double first_grant_share = 0.5;
/// Weight of one answer in that experience.
constexpr double grant_share_weight = 0.1;
/// A target that has turned a start away gets none for this long.
constexpr milliseconds avoid_time{300};
/// Steps looked at in one pass; those behind them would find no room either.
constexpr int steps_per_pass = 400;

/// An answer that takes this many times its objective is worth nothing to its caller.
constexpr int worthless_factor = 3;
constexpr int lateness_count = 3; ///< values of lateness_of()

/// @return 0 while a step can end in time, 1 when it will be late, 2 when too late to be of use.
/// Under overload those that can still be in time go first: otherwise all are a little late.
int lateness_of(const workflow& owner, std::uint32_t number)
{
    const auto end = boot_time() + owner.steps[number].tail;
    if (end <= owner.due)
        return 0;
    return end <= owner.due + owner.objective * (worthless_factor - 1) ? 1 : 2;
}

/// @return each target once
std::vector<fleet_target*> distinct(std::vector<fleet_target*> targets)
{
    std::sort(targets.begin(), targets.end());
    targets.erase(std::unique(targets.begin(), targets.end()), targets.end());
    return targets;
}

} // namespace

void coordinator::request_pass(milliseconds wait)
{
    if (!this->pass_timer.active())
        this->pass_timer.start_once(wait);
}

void coordinator::list_ready(workflow& owner)
{
    if (is_final(owner.state))
        return;
    for (std::uint32_t number = 0; number < owner.steps.size(); ++number) {
        auto& step = owner.steps[number];
        if (step.listed || step.waiting == 0)
            continue;
        const auto& spec = owner.record.spec.steps[number];
        const bool turn = std::ranges::all_of(spec.after, [&owner](std::uint32_t earlier) {
            return owner.steps[earlier].done == owner.steps[earlier].tasks.size();
        });
        // A gang starts whole, once all of an earlier run have ended.
        if (!turn || (spec.gang && step.waiting != spec.count))
            continue;
        step.listed = true;
        if (step.ready_since.count() == 0)
            step.ready_since = boot_time();
        step.rank = this->rank_of(owner, number);
        this->ready_steps.insert(this->key_of(owner, number));
    }
}

void coordinator::unlist(workflow& owner, std::uint32_t number)
{
    auto& step = owner.steps[number];
    if (!step.listed)
        return;
    step.listed = false;
    this->ready_steps.erase(this->key_of(owner, number));
}

void coordinator::pass()
{
    if (!this->loaded || !this->office.leads())
        return;
    this->teams.release_withheld();
    int left = steps_per_pass;
    std::vector<std::pair<workflow*, std::uint32_t>> later;
    for (auto at = this->ready_steps.begin(); at != this->ready_steps.end() && left > 0; --left) {
        const auto [priority, rank, due, id, number] = *at;
        ++at; // considering a step may take it off the list
        auto* owner = this->find(id);
        if (owner == nullptr)
            continue;
        if (this->rank_of(*owner, number) != rank)
            later.emplace_back(owner, number);
        this->consider(*owner, number);
    }
    for (const auto& [owner, number] : later) {
        if (!owner->steps[number].listed)
            continue;
        this->unlist(*owner, number);
        this->list_ready(*owner);
    }
}

int coordinator::rank_of(const workflow& owner, std::uint32_t number) const
{
    // A team that uses more than its share waits for those that do not.
    const auto* team = this->configuration->team(owner.record.team);
    const bool over = team != nullptr && this->teams.over_share(owner.record.team, team->weight,
                                                                this->all_weights, this->fleet);
    return lateness_of(owner, number) + (over ? lateness_count : 0);
}

coordinator::ready_key coordinator::key_of(const workflow& owner, std::uint32_t number) const
{
    return {owner.priority, owner.steps[number].rank, owner.due.count(), owner.record.id, number};
}

void coordinator::consider(workflow& owner, std::uint32_t number)
{
    auto& step = owner.steps[number];
    const auto& spec = owner.record.spec.steps[number];
    const auto* queue = this->configuration->queue(owner.record.queue);
    const auto allowed = this->within_limit(owner, spec.need, step.waiting);
    if (owner.urgent() && allowed < step.waiting)
        this->teams.withhold(owner.record.team, spec.need, step.waiting - allowed);
    if (allowed == 0 || (spec.gang && allowed < step.waiting)) {
        this->reclaim_limit(owner, number);
        return;
    }
    if (step.asking && spec.gang)
        return;
    this->free_reservation(step);
    const step_placer placer(this->candidates(owner, number, queue), spec.need);
    std::uint32_t wanted = allowed;
    if (this->office.certain() && !this->chain.stalled()) {
        const auto chosen = placer.place(wanted, spec.gang);
        wanted -= static_cast<std::uint32_t>(chosen.size());
        this->start_tasks(owner, number, chosen);
    }
    if (wanted == 0 || queue == nullptr || step.asking || boot_time() < step.ask_after)
        return;
    if (!queue->needs_advice) {
        this->reclaim_room(owner, number, queue, wanted);
        return;
    }
    const auto found = this->grant_share.find(owner.record.queue);
    const auto share = found == this->grant_share.end() ? first_grant_share : found->second;
    if (spec.gang) {
        // Where the advisor has agreed before, the room is kept while the tickets are renewed.
        if (const auto places = placer.place_renewing(wanted); !places.empty()) {
            if (this->ask_advice(owner, number, *queue, distinct(places)))
                this->reserve(step, spec.need, places);
            return;
        }
    }
    const auto named = placer.to_ask(wanted, spec.gang, share);
    if (!named.empty())
        this->ask_advice(owner, number, *queue, named);
    else
        this->reclaim_room(owner, number, queue, wanted);
}

void coordinator::reserve(workflow_step& step, const resources& need,
                          const std::vector<fleet_target*>& places)
{
    for (auto* target : places) {
        target->reserved += need;
        step.reserved.emplace_back(target->report.name, need);
    }
}

void coordinator::free_reservation(workflow_step& step)
{
    for (const auto& [name, need] : step.reserved) {
        if (const auto found = this->targets.find(name); found != this->targets.end())
            found->second->reserved -= need;
    }
    step.reserved.clear();
}

bool coordinator::may_use(const fleet_target& target, const workflow& owner,
                          std::uint32_t number) const
{
    const auto& report = target.report;
    const auto& label = owner.record.spec.steps[number].required_label;
    const auto now = boot_time();
    const auto& failed_on = owner.steps[number].failed_on;
    const auto failed = failed_on.find(report.name);
    return target.usable(now) && report.pool == owner.record.pool &&
           !this->configuration->zones_out.contains(report.availability_zone) &&
           (label.empty() || std::ranges::find(report.labels, label) != report.labels.end()) &&
           (failed == failed_on.end() || now >= failed->second);
}

std::vector<step_candidate> coordinator::candidates(const workflow& owner, std::uint32_t number,
                                                    const queue_definition* queue) const
{
    const auto now = boot_time();
    const auto& spec = owner.record.spec.steps[number];
    const auto& memory = owner.steps[number].advice;
    std::vector<step_candidate> found;
    for (const auto& [name, target] : this->targets) {
        if (!this->may_use(*target, owner, number))
            continue;
        step_candidate candidate{.target = target.get(), .fits = target->fits(spec.need)};
        if (spec.max_per_target > 0) {
            const auto here = target->count_of(owner.record.id, number);
            candidate.fits =
                std::min(candidate.fits, spec.max_per_target - std::min(spec.max_per_target, here));
        }
        if (candidate.fits == 0)
            continue;
        if (queue != nullptr && queue->needs_advice) {
            const auto said = memory.find(name);
            if (said != memory.end() && !said->second.allowed)
                continue;
            candidate.may_run = said == memory.end() ? step_candidate::permission::not_asked
                                : said->second.valid_until < now + ticket_slack
                                    ? step_candidate::permission::lapsed
                                    : step_candidate::permission::allowed;
        }
        found.push_back(candidate);
    }
    return found;
}

std::uint32_t coordinator::within_limit(const workflow& owner, const resources& need,
                                        std::uint32_t wanted) const
{
    const auto* team = this->configuration->team(owner.record.team);
    if (team == nullptr)
        return wanted;
    return this->teams.fits(owner.record.team, team->limit, need, wanted, owner.urgent());
}

bool coordinator::ask_advice(workflow& owner, std::uint32_t number, const queue_definition& queue,
                             const std::vector<fleet_target*>& named)
{
    auto& step = owner.steps[number];
    advice_question question{.workflow = owner.record.id, .occurrence = 0, .step = number};
    for (const auto* target : named)
        question.targets.push_back(target->report.name);
    const milliseconds cost(static_cast<std::int64_t>(
        queue.advice_base_ms + queue.advice_target_ms * static_cast<double>(named.size()) + 1));
    const bool taken = this->desk.ask(
        question, cost,
        [this, alive = this->alive, id = owner.record.id, number, question](advice_answer answer) {
            if (*alive)
                this->take_advice(id, number, question, answer);
        });
    if (taken)
        step.asking = true;
    else
        step.ask_after = boot_time() + advice_retry;
    return taken;
}

void coordinator::take_advice(const std::string& id, std::uint32_t number,
                              const advice_question& question, const advice_answer& answer)
{
    auto* owner = this->find(id);
    if (owner == nullptr || is_final(owner->state))
        return;
    auto& step = owner->steps[number];
    step.asking = false;
    this->request_pass(milliseconds(0));
    if (!answer.answered) {
        step.ask_after = boot_time() + advice_retry;
        this->around.log.write("coordinator", "advice_missed",
                               {{"workflow", id}, {"step", number}});
        return;
    }
    for (const auto& name : question.targets)
        step.advice.try_emplace(name);
    const auto valid_until = boot_time() + milliseconds(answer.valid_ms);
    for (const auto& grant : answer.granted)
        step.advice[grant.target] = {true, grant.ticket, valid_until};
    // Whoever waits longest at the advisor has its answer used before others take the room.
    if (step.listed)
        this->consider(*owner, number);
    auto [share, fresh] = this->grant_share.try_emplace(owner->record.queue, first_grant_share);
    share->second += grant_share_weight *
                     (static_cast<double>(answer.granted.size()) /
                          static_cast<double>(std::max<std::size_t>(1, question.targets.size())) -
                      share->second);
}

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
        while (step.tasks[index].at != workflow_task::phase::waiting)
            ++index;
        auto& task = step.tasks[index];
        const task_name name{owner.record.id, 0, number, index};
        task.at = workflow_task::phase::placed;
        task.target = target;
        task.run = spec.gang ? gang_run : std::max(task.run, owner.run_base) + 1;
        --step.waiting;
        ++owner.placed;
        this->teams.take(owner.record.team, spec.need, owner.urgent());
        const auto batch = this->placements.add({owner.record.id, 0, number, index, task.run,
                                                 target->report.name, target->report.born_ms});
        target->place(name, {.owner = &owner, .run = task.run, .need = spec.need, .batch = batch});
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
        auto* target = this->find_life(entry.target, entry.target_born_ms);
        if (target == nullptr)
            continue;
        const auto found = target->tasks.find(entry.task());
        if (found == target->tasks.end() || found->second.run != entry.run || found->second.ordered)
            continue;
        auto& owner = *found->second.owner;
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
        found->second.ordered = true;
        this->send_start(*target, entry.task());
        target->session->want_looks(true);
    }
}

void coordinator::send_start(fleet_target& target, const task_name& name)
{
    auto& placed = target.tasks.at(name);
    const auto& owner = *placed.owner;
    const auto& step = owner.steps[name.step];
    const bool gang = owner.record.spec.steps[name.step].gang;
    start_order order{.task = name, .run = placed.run, .payload = owner.record.spec.payload};
    order.checkpoint = step.tasks[gang ? 0 : name.index].checkpoint;
    if (const auto said = step.advice.find(target.report.name); said != step.advice.end())
        order.ticket = said->second.ticket;
    placed.ordered_at = boot_time();
    ++placed.open_orders;
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
    --placed.open_orders;
    placed.ordered_at = boot_time();
    if (result.how == order_result::outcome::done) {
        placed.started = true;
        placed.started_at = boot_time();
        if (!placed.stopping)
            placed.settled_at = boot_time();
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
    target.avoid_until = boot_time() + avoid_time;
    if (result.how == order_result::outcome::bad_ticket) {
        auto& said = owner.steps[name.step].advice[target.report.name];
        said.valid_until = milliseconds(0);
        target.avoid_until = milliseconds(0);
    }
    // An earlier sending of the order may still arrive: only a stop makes sure that it does
    // nothing.
    this->stop_run(target, name, target.tasks.at(name).run);
}

} // namespace verbenalever
