// Scheduling passes: the order of the ready steps and the targets that each may use.

#include "coordination/commit_chain.h"
#include "coordination/leadership.h"
#include "coordinator/coordinator.h"
#include "coordinator/step_placer.h"
#include "coordinator/target_session.h"
#include "timeline/event_log.h"

#include <algorithm>
#include <optional>

namespace verbenalever {

namespace {

/// Steps for which one pass evaluates targets, from the front of the ready steps. Steps that wait
/// for their team's limit or for the advisor do not count: later ones may still start.
constexpr int first_steps_per_pass = 300;
/// Steps behind them for which it does so; successive passes go through all of these.
constexpr int later_steps_per_pass = 100;
/// After a pass the next one waits for this many times its duration, so that scheduling leaves most
/// of the processor to orders, polls of targets and callers.
constexpr int pass_pause_factor = 3;
/// A step that is ready for longer than this asks the advisor as if all targets were allowed, even
/// if a gang will probably not get enough of them. A few times the one second that the users'
/// urgent jobs may take.
constexpr milliseconds optimistic_estimate_after{3000};
/// Steps that may preempt runs in one pass: each of them examines all running tasks.
constexpr int preemptions_per_pass = 6;

/// A result that takes this many times its latency objective is useless to its caller.
constexpr int useless_lateness_factor = 3;
constexpr int lateness_levels = 3; ///< number of values that lateness_of() returns

/// @return 0 while the workflow can end in time, 1 when it will be late, 2 when too late to be of
/// use. Under overload steps that can still be in time go first: otherwise all would be late.
int lateness_of(const workflow& owner, std::uint32_t step_index)
{
    const auto end = boot_time() + owner.steps[step_index].time_to_workflow_end;
    if (end <= owner.due_at)
        return 0;
    return end <= owner.due_at + owner.objective * (useless_lateness_factor - 1) ? 1 : 2;
}

} // namespace

void coordinator::request_scheduling_pass(milliseconds wait)
{
    if (!this->scheduling_timer.active())
        this->scheduling_timer.start_once(std::max(wait, this->earliest_next_pass - boot_time()));
}

void coordinator::add_ready_steps(workflow& owner)
{
    if (is_final(owner.state))
        return;
    for (std::uint32_t step_index = 0; step_index < owner.steps.size(); ++step_index) {
        auto& step = owner.steps[step_index];
        if (step.in_ready_list || step.waiting_count == 0)
            continue;
        const auto& spec = owner.record.spec.steps[step_index];
        const bool predecessors_done =
            std::ranges::all_of(spec.after, [&owner](std::uint32_t earlier) {
                return owner.steps[earlier].done_count == owner.steps[earlier].tasks.size();
            });
        // A gang is started again only after all members of its previous run have ended.
        if (!predecessors_done || (spec.gang && step.waiting_count != spec.count))
            continue;
        step.in_ready_list = true;
        step.time_tracker.enter(step_time_tracker::state::queued, boot_time());
        if (step.ready_since.count() == 0)
            step.ready_since = boot_time();
        step.rank = this->rank_of(owner, step_index);
        step.due_shift = this->due_shift_of(owner, step_index);
        this->ready_steps.insert(this->ready_key_of(owner, step_index));
    }
    this->update_waiting_work(owner);
}

void coordinator::remove_from_ready(workflow& owner, std::uint32_t step_index)
{
    auto& step = owner.steps[step_index];
    if (!step.in_ready_list)
        return;
    step.in_ready_list = false;
    step.time_tracker.enter(step.waiting_count == 0 && step.done_count < step.tasks.size()
                                ? step_time_tracker::state::run
                                : step_time_tracker::state::idle,
                            boot_time());
    this->ready_steps.erase(this->ready_key_of(owner, step_index));
    // Nothing else gives the capacity back once the step is not scheduled any more.
    if (!step.reserved.empty()) {
        this->env.log.write("coordinator", "reservation_released",
                            {{"workflow", owner.record.id},
                             {"step", step_index},
                             {"targets", step.reserved.size()},
                             {"reason", "not_ready"}});
        this->release_reservation(step);
    }
}

void coordinator::update_rank(workflow& owner, std::uint32_t step_index)
{
    this->ready_steps.erase(this->ready_key_of(owner, step_index));
    auto& step = owner.steps[step_index];
    step.rank = this->rank_of(owner, step_index);
    step.due_shift = this->due_shift_of(owner, step_index);
    this->ready_steps.insert(this->ready_key_of(owner, step_index));
    this->update_waiting_work(owner);
}

std::optional<coordinator::ready_key>
coordinator::schedule_steps(ready_iterator at, int most,
                            std::vector<std::pair<workflow*, std::uint32_t>>& reranked)
{
    while (at != this->ready_steps.end()) {
        if (most == 0)
            return *at;
        const auto [priority, rank, due, id, step_index] = *at;
        ++at; // scheduling a step may erase it from ready_steps
        auto* owner = this->find_workflow(id);
        if (owner == nullptr)
            continue;
        if (this->rank_of(*owner, step_index) != rank ||
            this->due_shift_of(*owner, step_index) != owner->steps[step_index].due_shift)
            reranked.emplace_back(owner, step_index);
        most -= this->schedule_step(*owner, step_index) ? 1 : 0;
    }
    return std::nullopt;
}

void coordinator::run_scheduling_pass()
{
    if (!this->loaded || !this->election.leads())
        return;
    const auto pass_started_at = boot_time();
    this->usage_by_team.clear_urgent_reservations();
    this->preemptions_left = preemptions_per_pass;
    std::vector<std::pair<workflow*, std::uint32_t>> reranked;
    const auto later =
        this->schedule_steps(this->ready_steps.begin(), first_steps_per_pass, reranked);
    // What the first steps wait for need not be what later ones wait for: each has its turn.
    if (later)
        this->resume_pass_at = this->schedule_steps(
            this->ready_steps.lower_bound(std::max(*later, this->resume_pass_at.value_or(*later))),
            later_steps_per_pass, reranked);
    else
        this->resume_pass_at.reset();
    this->fail_exhausted_workflows();
    for (const auto& [owner, step_index] : reranked) {
        if (owner->steps[step_index].in_ready_list)
            this->update_rank(*owner, step_index);
    }
    const auto now = boot_time();
    this->earliest_next_pass = now + (now - pass_started_at) * pass_pause_factor;
}

int coordinator::rank_of(const workflow& owner, std::uint32_t step_index) const
{
    // Steps of a team that uses more than its share come after those of other teams.
    const auto* team = this->definitions.team(owner.record.team);
    const bool exceeds_share =
        team != nullptr &&
        this->usage_by_team.exceeds_share(owner.record.team, team->weight, this->total_team_weight,
                                          this->fleet_capacity);
    return lateness_of(owner, step_index) + (exceeds_share ? lateness_levels : 0);
}

coordinator::ready_key coordinator::ready_key_of(const workflow& owner,
                                                 std::uint32_t step_index) const
{
    const auto& step = owner.steps[step_index];
    return {owner.priority, step.rank, (owner.due_at + step.due_shift).count(), owner.record.id,
            step_index};
}

bool coordinator::schedule_step(workflow& owner, std::uint32_t step_index)
{
    const auto counts = this->place_or_ask_advisor(owner, step_index);
    if (owner.steps[step_index].in_ready_list)
        this->update_wait_state(owner, step_index);
    return counts;
}

bool coordinator::place_or_ask_advisor(workflow& owner, std::uint32_t step_index)
{
    auto& step = owner.steps[step_index];
    const auto& spec = owner.record.spec.steps[step_index];
    const auto& queue = *owner.definition;
    if (has_exhausted_task(owner, step_index)) {
        // Not ended here: the callers refer to its steps.
        this->exhausted_workflows.push_back(owner.record.id);
        return false;
    }
    const auto allowed = this->tasks_within_team_limit(owner, spec.need, step.waiting_count);
    if (owner.urgent() && allowed < step.waiting_count)
        this->claim_team_limit(owner, step_index, allowed);
    if (allowed == 0 || (spec.gang && allowed < step.waiting_count)) {
        this->release_reservation(step);
        return false;
    }
    if (step.open_questions > 0 && spec.gang)
        return false;
    this->evaluation_time = boot_time();
    // While no question can be sent, only targets that the advisor has allowed are of use.
    const bool cannot_ask = queue.needs_advice && (step.open_questions > 0 ||
                                                   this->evaluation_time < step.next_question_at);
    this->release_reservation(step);
    auto candidates = cannot_ask ? this->find_allowed_candidates(owner, step_index)
                                 : this->find_candidates(owner, step_index);
    std::uint32_t wanted = allowed;
    const bool may_place =
        this->election.is_lease_valid() && !this->chain.stalled() && this->list_is_recent();
    if (may_place && spec.gang && this->is_suspect(owner, step_index, 0))
        keep_quiet_candidates(step, candidates);
    else if (may_place && !spec.gang)
        wanted -= this->place_suspects(owner, step_index, candidates, wanted);
    const step_placer placer(std::move(candidates), spec.need);
    if (may_place) {
        const auto assigned_targets = placer.place(wanted, spec.gang);
        wanted -= static_cast<std::uint32_t>(assigned_targets.size());
        this->place_tasks(owner, step_index, assigned_targets, false);
    }
    if (wanted == 0 || cannot_ask)
        return !cannot_ask;
    if (!queue.needs_advice) {
        this->preempt_for_capacity(owner, step_index, wanted);
        return true;
    }
    // After a long wait it is enough that the step would fit if all targets were allowed.
    const bool waited_long = boot_time() - step.ready_since > optimistic_estimate_after;
    const auto grant_rate = waited_long ? 1.0 : this->expected_grant_rate(owner, step_index);
    if (spec.gang) {
        // Targets that were allowed before are reserved while their tickets are renewed.
        if (const auto renewed_targets = placer.place_with_renewal(wanted);
            !renewed_targets.empty()) {
            // Reserved before the call: an answer that comes within it schedules the step.
            this->reserve(step, spec.need, renewed_targets);
            if (!this->ask_advisor(owner, step_index, queue, without_duplicates(renewed_targets),
                                   true))
                this->release_reservation(step);
            return true;
        }
        if (this->preempt_for_gang(owner, step_index, queue, wanted))
            return true;
    }
    const auto targets_to_ask = placer.select_targets_to_ask(
        wanted, spec.gang, grant_rate, this->economy.least_targets(queue, spec.gang));
    if (this->asks_whole_fleet(owner, step_index, queue, targets_to_ask) &&
        this->ask_about_unasked_targets(owner, step_index, queue))
        return true;
    if (!targets_to_ask.empty())
        this->ask_advisor(owner, step_index, queue, targets_to_ask, spec.gang);
    else
        this->preempt_for_capacity(owner, step_index, wanted);
    return true;
}

std::uint32_t coordinator::max_concurrent_tasks(const workflow& owner,
                                                std::uint32_t step_index) const
{
    const auto& step = owner.steps[step_index];
    const auto& spec = owner.record.spec.steps[step_index];
    const auto wanted = step.waiting_count;
    const auto* team = this->definitions.team(owner.record.team);
    const auto within_limit =
        team == nullptr ? wanted
                        : team_usage_tracker::max_runs_beside({}, team->limit, spec.need, wanted);
    if (within_limit == 0 || (spec.gang && within_limit < wanted))
        return 0;
    std::uint32_t fitting = 0;
    for (const auto& [name, target] : this->targets) {
        if (fitting >= within_limit)
            break;
        const auto advice = step.advice.find(name);
        if (target->report.leaving || !target->session->reachable() ||
            this->in_unusable_zone(*target) || !matches(*target, owner, step_index) ||
            (advice != step.advice.end() && !advice->second.allowed))
            continue;
        auto tasks = fleet_target::count_fitting(target->report.capacity, spec.need);
        if (spec.max_per_target > 0)
            tasks = std::min(tasks, spec.max_per_target);
        fitting += std::min(tasks, within_limit - fitting);
    }
    return spec.gang && fitting < wanted ? 0 : fitting;
}

void coordinator::claim_team_limit(workflow& owner, std::uint32_t step_index, std::uint32_t allowed)
{
    this->evaluation_time = boot_time();
    const auto concurrent = this->max_concurrent_tasks(owner, step_index);
    auto& step = owner.steps[step_index];
    if (const bool too_large = concurrent == 0; too_large != step.too_large) {
        step.too_large = too_large;
        this->env.log.write("coordinator", too_large ? "step_too_large" : "step_fits",
                            {{"workflow", owner.record.id},
                             {"step", step_index},
                             {"team", owner.record.team},
                             {"tasks", step.waiting_count}});
    }
    if (concurrent <= allowed)
        return;
    const auto& spec = owner.record.spec.steps[step_index];
    this->usage_by_team.reserve_for_urgent(owner.record.team, spec.need, concurrent - allowed);
    if (allowed == 0 || spec.gang)
        this->preempt_for_team_limit(owner, step_index, concurrent);
}

std::uint32_t coordinator::tasks_within_team_limit(const workflow& owner, const resources& need,
                                                   std::uint32_t wanted) const
{
    const auto* team = this->definitions.team(owner.record.team);
    if (team == nullptr)
        return wanted;
    return this->usage_by_team.max_runs_within_limit(owner.record.team, team->limit, need, wanted,
                                                     owner.urgent());
}

} // namespace verbenalever
