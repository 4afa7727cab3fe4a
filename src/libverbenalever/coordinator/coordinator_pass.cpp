// Placing: which steps are considered in which order, and which targets they may use.

#include "coordination/commit_chain.h"
#include "coordination/leadership.h"
#include "coordinator/coordinator.h"
#include "coordinator/step_placer.h"
#include "coordinator/target_session.h"
#include "timeline/counters.h"

#include <algorithm>
#include <optional>

namespace verbenalever {

namespace {

/// A ticket is not used when it has less than this left, since the start takes time to arrive.
constexpr milliseconds ticket_slack{150};
/// Steps for which one pass weighs targets; those behind them would find no room either. Steps that
/// wait for their team's limit or for the advisor do not count: others behind them may start.
constexpr int steps_per_pass = 400;
/// A pass is followed by this many times its own duration without one, so that placing leaves most
/// of the processor to orders, looks and callers.
constexpr int pass_rest_factor = 3;
/// After this long also a question that will probably not grant a gang all its places is worth the
/// advisor's time: a few times the second that the users' urgent jobs may take.
constexpr milliseconds unlikely_wait{3000};
/// Steps for which one pass makes room: each looks through all that runs.
constexpr int reclaims_per_pass = 6;

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

/// @return whether a better gang is asking the advisor about this target, so that a question of
/// another about it would most likely be for nothing
bool claimed_before(const fleet_target& target, int order)
{
    return !target.gang_claims.empty() && *target.gang_claims.begin() < order;
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
        this->pass_timer.start_once(std::max(wait, this->next_pass_at - boot_time()));
}

void coordinator::survey_room(milliseconds oldest)
{
    const auto now = boot_time();
    if (now - this->surveyed_at <= oldest)
        return;
    this->surveyed_at = now;
    this->open_room.clear();
    for (const auto& [name, target] : this->targets) {
        const auto room = target->unused_resources().processors_milli;
        if (room > 0 && target->usable(now) &&
            !this->configuration->zones_out.contains(target->report.availability_zone))
            this->open_room.emplace_back(room, target.get());
    }
    std::ranges::sort(this->open_room);
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
        step.clock.enter(step_clock::state::queued, boot_time());
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
    step.clock.enter(step.waiting == 0 && step.done < step.tasks.size() ? step_clock::state::run
                                                                        : step_clock::state::idle,
                     boot_time());
    this->ready_steps.erase(this->key_of(owner, number));
}

void coordinator::pass()
{
    if (!this->loaded || !this->office.leads())
        return;
    const auto began = boot_time();
    this->teams.clear_urgent_reservations();
    this->survey_room(milliseconds(-1));
    this->reclaims_left = reclaims_per_pass;
    int left = steps_per_pass;
    std::vector<std::pair<workflow*, std::uint32_t>> later;
    for (auto at = this->ready_steps.begin(); at != this->ready_steps.end() && left > 0;) {
        const auto [priority, rank, due, id, number] = *at;
        ++at; // considering a step may take it off the list
        auto* owner = this->find_workflow(id);
        if (owner == nullptr)
            continue;
        if (this->rank_of(*owner, number) != rank)
            later.emplace_back(owner, number);
        left -= this->consider(*owner, number) ? 1 : 0;
    }
    for (const auto& [owner, number] : later) {
        if (!owner->steps[number].listed)
            continue;
        this->unlist(*owner, number);
        this->list_ready(*owner);
    }
    const auto now = boot_time();
    this->next_pass_at = now + (now - began) * pass_rest_factor;
}

int coordinator::rank_of(const workflow& owner, std::uint32_t number) const
{
    // A team that uses more than its share waits for those that do not.
    const auto* team = this->configuration->team(owner.record.team);
    const bool over = team != nullptr && this->teams.exceeds_share(owner.record.team, team->weight,
                                                                   this->all_weights, this->fleet);
    return lateness_of(owner, number) + (over ? lateness_count : 0);
}

coordinator::ready_key coordinator::key_of(const workflow& owner, std::uint32_t number) const
{
    return {owner.priority, owner.steps[number].rank, owner.due.count(), owner.record.id, number};
}

bool coordinator::consider(workflow& owner, std::uint32_t number)
{
    const auto counts = this->place_or_ask(owner, number);
    if (owner.steps[number].listed)
        this->update_wait_state(owner, number);
    return counts;
}

bool coordinator::place_or_ask(workflow& owner, std::uint32_t number)
{
    auto& step = owner.steps[number];
    const auto& spec = owner.record.spec.steps[number];
    const auto* queue = this->configuration->queue(owner.record.queue);
    const auto allowed = this->within_limit(owner, spec.need, step.waiting);
    if (owner.urgent() && allowed < step.waiting)
        this->teams.reserve_for_urgent(owner.record.team, spec.need, step.waiting - allowed);
    if (allowed == 0 || (spec.gang && allowed < step.waiting)) {
        this->reclaim_limit(owner, number);
        return false;
    }
    if (step.asking > 0 && spec.gang)
        return false;
    this->weighing_at = boot_time();
    // Nothing can be asked now: only targets that the advisor has allowed matter.
    const bool silent = queue != nullptr && queue->needs_advice &&
                        (step.asking > 0 || this->weighing_at < step.ask_after);
    this->free_reservation(step);
    const step_placer placer(silent ? this->allowed_candidates(owner, number, queue)
                                    : this->candidates(owner, number, queue),
                             spec.need);
    std::uint32_t wanted = allowed;
    if (this->office.certain() && !this->chain.stalled()) {
        const auto chosen = placer.place(wanted, spec.gang);
        wanted -= static_cast<std::uint32_t>(chosen.size());
        this->start_tasks(owner, number, chosen);
    }
    if (wanted == 0 || queue == nullptr || silent)
        return !silent;
    if (!queue->needs_advice) {
        this->reclaim_room(owner, number, queue, wanted);
        return true;
    }
    // One that has waited long is asked about as long as its room would do at best.
    const bool long_wait = boot_time() - step.ready_since > unlikely_wait;
    const auto share = long_wait ? 1.0 : this->expected_grant(owner, number);
    if (this->learns_whole(owner, number, *queue)) {
        this->learn_targets(owner, number, *queue);
        return true;
    }
    if (spec.gang) {
        // Where the advisor has agreed before, the room is kept while the tickets are renewed.
        if (const auto places = placer.place_renewing(wanted); !places.empty()) {
            if (this->ask_advice(owner, number, *queue, distinct(places)))
                this->reserve(step, spec.need, places);
            return true;
        }
    }
    const auto named = placer.to_ask(wanted, spec.gang, share);
    if (!named.empty())
        this->ask_advice(owner, number, *queue, named);
    else
        this->reclaim_room(owner, number, queue, wanted);
    return true;
}

bool coordinator::may_use(const fleet_target& target, const workflow& owner,
                          std::uint32_t number) const
{
    return target.usable(this->weighing_at) &&
           !this->configuration->zones_out.contains(target.report.availability_zone) &&
           this->suits(target, owner, number);
}

bool coordinator::suits(const fleet_target& target, const workflow& owner,
                        std::uint32_t number) const
{
    const auto& report = target.report;
    const auto& label = owner.record.spec.steps[number].required_label;
    const auto& failed_on = owner.steps[number].failed_on;
    const auto failed = failed_on.find(report.name);
    return report.pool == owner.record.pool &&
           (label.empty() || std::ranges::find(report.labels, label) != report.labels.end()) &&
           (failed == failed_on.end() || this->weighing_at >= failed->second);
}

std::optional<step_candidate> coordinator::weigh(fleet_target& target, const workflow& owner,
                                                 std::uint32_t number,
                                                 const queue_definition* queue) const
{
    const auto now = this->weighing_at;
    const auto& spec = owner.record.spec.steps[number];
    const auto room = target.free_resources();
    step_candidate candidate{.target = &target,
                             .fits = fleet_target::count_fitting(room, spec.need),
                             .free_milli = room.processors_milli};
    if (candidate.fits == 0 || !target.usable(now) || !this->suits(target, owner, number))
        return std::nullopt;
    if (spec.max_per_target > 0) {
        const auto here = target.count_tasks(owner.record.id, number);
        candidate.fits =
            std::min(candidate.fits, spec.max_per_target - std::min(spec.max_per_target, here));
        if (candidate.fits == 0)
            return std::nullopt;
    }
    if (queue == nullptr || !queue->needs_advice)
        return candidate;
    const auto& memory = owner.steps[number].advice;
    const auto said = memory.find(target.report.name);
    if (said == memory.end()) {
        if (spec.gang && claimed_before(target, owner.gang_order(number)))
            return std::nullopt;
        candidate.may_run = step_candidate::permission::not_asked;
    }
    else if (!said->second.allowed)
        return std::nullopt;
    else if (said->second.valid_until < now + ticket_slack)
        candidate.may_run = step_candidate::permission::lapsed;
    return candidate;
}

std::vector<step_candidate> coordinator::candidates(const workflow& owner, std::uint32_t number,
                                                    const queue_definition* queue) const
{
    const auto& spec = owner.record.spec.steps[number];
    std::vector<step_candidate> found;
    const auto with_room = std::ranges::lower_bound(this->open_room, spec.need.processors_milli, {},
                                                    &std::pair<std::int64_t, fleet_target*>::first);
    this->around.count.add("targets_weighed", std::distance(with_room, this->open_room.end()));
    for (auto at = with_room; at != this->open_room.end(); ++at) {
        auto& target = *at->second;
        if (const auto one = this->weigh(target, owner, number, queue))
            found.push_back(*one);
    }
    return found;
}

std::vector<step_candidate> coordinator::allowed_candidates(const workflow& owner,
                                                            std::uint32_t number,
                                                            const queue_definition* queue) const
{
    std::vector<step_candidate> found;
    for (const auto& [name, said] : owner.steps[number].advice) {
        if (!said.allowed)
            continue;
        const auto known = this->targets.find(name);
        if (known == this->targets.end() ||
            this->configuration->zones_out.contains(known->second->report.availability_zone))
            continue;
        if (const auto one = this->weigh(*known->second, owner, number, queue))
            found.push_back(*one);
    }
    return found;
}

std::uint32_t coordinator::within_limit(const workflow& owner, const resources& need,
                                        std::uint32_t wanted) const
{
    const auto* team = this->configuration->team(owner.record.team);
    if (team == nullptr)
        return wanted;
    return this->teams.max_runs_within_limit(owner.record.team, team->limit, need, wanted,
                                             owner.urgent());
}

} // namespace verbenalever
