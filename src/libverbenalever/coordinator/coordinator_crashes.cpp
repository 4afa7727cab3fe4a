// Crashes of targets: which tasks may cause them, when such a task is given up, and where it starts
// meanwhile.

#include "coordinator/coordinator.h"
#include "coordinator/crash_progress.h"
#include "coordinator/step_placer.h"
#include "coordinator/target_session.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace verbenalever {

namespace {

/// A task that crashes its target does so soon after its start: runs that were started this long
/// before the target's last answer or later are suspects. Answers overtake each other, and orders
/// reach the target through relays.
constexpr milliseconds suspect_window{300};
/// A target that has answered this long before a start order is taken to have been up then.
constexpr milliseconds max_answer_age{500};
/// A suspect that runs for this long is taken not to have crashed its target.
constexpr milliseconds settle_time{500};
/// Longest time for which a target is kept for a suspect whose start is not confirmed.
constexpr milliseconds unconfirmed_isolation{2500};
/// A suspect that finds no suitable target for this long starts beside other starts.
constexpr milliseconds max_wait_for_isolation{1000};
/// Suspects of all workflows use at most one in this many targets at a time.
constexpr std::size_t isolation_share = 4;
/// A target that returns later than this after its runs were given up has been replaced or
/// repaired.
constexpr milliseconds lost_life_retention{60'000};
/// Targets that a zone or rack must have lost at the same moment to count as lost itself.
constexpr std::size_t min_group_losses = 3;
/// For each of its targets that has answered since, it must have lost this many.
constexpr std::size_t losses_per_survivor = 4;

bool is_recent(const placed_run& placed, milliseconds last_answer_at)
{
    return !placed.started || placed.started_at + suspect_window >= last_answer_at;
}

bool has_crashed_under(const workflow_step& step, const std::string& target)
{
    return std::ranges::any_of(step.tasks, [&](const workflow_task& task) {
        return std::ranges::find(task.crashes.crashes(), target, &crash_history::crash::target) !=
               task.crashes.crashes().end();
    });
}

/// @return whether the target answered shortly before the first start order and not after it
bool was_up_at_start(const placed_run& placed, milliseconds last_answer_at)
{
    const auto since_answer = placed.start_sent_at - last_answer_at;
    return since_answer <= max_answer_age && -since_answer <= suspect_window;
}

/// @return whether a stop order may have ended the run before its target was lost
bool may_have_stopped(const placed_run& placed, const target_session& session)
{
    return placed.stopping && (placed.order_confirmed_at.count() != 0 ||
                               session.last_polled_at() >= placed.stop_sent_at);
}

} // namespace

std::vector<coordinator::implicated_run> coordinator::assess_crash(const fleet_target& target) const
{
    const auto last_answer_at = target.session->last_answer_at();
    // Also runs that do not count themselves may have caused the crash.
    bool any_recent = false;
    for (const auto& [task, placed] : target.tasks)
        any_recent = any_recent || (placed.start_sent && is_recent(placed, last_answer_at));
    std::set<std::string_view> suspects;
    for (const auto& [task, placed] : target.tasks) {
        if (placed.start_sent && (!any_recent || is_recent(placed, last_answer_at)))
            suspects.insert(task.workflow);
    }
    std::vector<implicated_run> found;
    for (const auto& [task, placed] : target.tasks) {
        if (placed.owner == nullptr || is_final(placed.owner->state) || !placed.start_sent ||
            placed.in_later_life || may_have_stopped(placed, *target.session))
            continue;
        // When an adopted run has started is not known.
        const bool recent = !placed.adopted && is_recent(placed, last_answer_at);
        auto evidence = crash_evidence::bystander;
        if (!placed.started)
            evidence = placed.suspect && was_up_at_start(placed, last_answer_at)
                           ? crash_evidence::unanswered
                           : crash_evidence::unconfirmed;
        else if (recent && placed.stopping)
            evidence = crash_evidence::unanswered;
        else if (recent)
            evidence =
                suspects.size() == 1 ? crash_evidence::sole_suspect : crash_evidence::suspect;
        else if (!any_recent && suspects.size() == 1 && !placed.stopping &&
                 placed.owner->steps[task.step].tasks[task.index].crashes.crashes_late())
            evidence = crash_evidence::suspect; // again, and nothing else was there
        found.push_back({.task = task,
                         .run = placed.run,
                         .evidence = evidence,
                         .recent = recent,
                         .started = placed.started,
                         .listed = placed.listed,
                         .stopping = placed.stopping});
    }
    return found;
}

void coordinator::remember_lost_life(const fleet_target& target,
                                     const std::vector<implicated_run>& runs)
{
    if (runs.empty() || target.report.leaving)
        return;
    std::erase_if(this->lost_lives, [now = boot_time()](const auto& known) {
        return now - known.second.lost_at > lost_life_retention;
    });
    auto& life = this->lost_lives[target.report.name];
    if (life.born_ms != target.report.born_ms)
        life = {.born_ms = target.report.born_ms};
    life.lost_at = boot_time();
    life.runs.insert(life.runs.end(), runs.begin(), runs.end());
}

void coordinator::resolve_lost_life(const std::string& name, std::int64_t born_ms)
{
    const auto found = this->lost_lives.find(name);
    if (found == this->lost_lives.end() || born_ms < found->second.born_ms)
        return;
    const auto life = std::move(found->second);
    this->lost_lives.erase(found);
    if (born_ms == life.born_ms || boot_time() - life.lost_at > lost_life_retention)
        return; // it was cut off, and its runs have lapsed
    this->count_crash({name, life.born_ms}, life.runs);
}

void coordinator::record_target_loss(const fleet_target& target)
{
    this->target_losses.add({target.report.name, target.session->last_answer_at(), boot_time()});
    // Whether its groups are lost as well is known only from the answers of their other targets.
    for (const auto& in_group : groups_of(target.report)) {
        const auto lost = this->count_losses(target.report.name, in_group);
        if (lost < min_group_losses)
            continue;
        auto wanted = lost / losses_per_survivor + 1;
        for (const auto& [name, other] : this->targets) {
            if (wanted == 0)
                break;
            if (!in_group(other->report) || !other->session->polled() ||
                !other->session->reachable())
                continue;
            --wanted;
            this->env.metrics.add("group_probes");
            other->session->probe();
        }
    }
}

std::vector<coordinator::target_group> coordinator::groups_of(const target_report& report)
{
    std::vector<target_group> groups{[zone = report.availability_zone](const target_report& other) {
        return other.availability_zone == zone;
    }};
    for (const auto& label : report.labels) {
        groups.emplace_back([label](const target_report& other) {
            return std::ranges::find(other.labels, label) != other.labels.end();
        });
    }
    return groups;
}

std::size_t coordinator::count_losses(const std::string& name, const target_group& in_group) const
{
    const auto* loss = this->target_losses.find(name);
    return loss == nullptr
               ? 0
               : this->target_losses.count_simultaneous(*loss, [&](const std::string& other) {
                     const auto found = this->targets.find(other);
                     return found != this->targets.end() && in_group(found->second->report);
                 });
}

bool coordinator::lost_with_its_group(const std::string& name) const
{
    const auto* loss = this->target_losses.find(name);
    const auto lost_target = this->targets.find(name);
    if (loss == nullptr || lost_target == this->targets.end())
        return false;
    return std::ranges::any_of(
        groups_of(lost_target->second->report), [&](const target_group& in_group) {
            const auto lost = this->count_losses(name, in_group);
            if (lost < min_group_losses)
                return false;
            std::size_t survivors = 0;
            for (const auto& [other, target] : this->targets) {
                // When a target that never answered this coordinator was lost is not known.
                const bool survived = (target->added_at < loss->last_answer_at ||
                                       loss->last_answer_at.count() == 0) &&
                                      target->session->last_answer_at() > loss->noticed_at;
                survivors += survived && in_group(target->report) ? 1 : 0;
            }
            return lost >= losses_per_survivor * survivors;
        });
}

void coordinator::count_crash(const target_identity& target,
                              const std::vector<implicated_run>& runs)
{
    if (this->lost_with_its_group(target.name)) {
        this->env.metrics.add("crashes_of_groups");
        this->env.log.write("coordinator", "crash_not_counted",
                            {{"target", target.name}, {"tasks", runs.size()}});
        return;
    }
    if (!runs.empty())
        this->env.metrics.add("crashes_under_tasks");
    for (const auto& implicated : runs) {
        auto* owner = this->find_workflow(implicated.task.workflow);
        if (owner != nullptr && !is_final(owner->state))
            this->count_crashed_run(*owner, implicated, target);
    }
}

void coordinator::count_crashed_run(workflow& owner, const implicated_run& implicated,
                                    const target_identity& target)
{
    const auto& name = implicated.task;
    const auto run = implicated.run;
    auto& step = owner.steps[name.step];
    auto& task = step.tasks[name.index];
    const bool gang = owner.record.spec.steps[name.step].gang;
    // The end of a run that failed may be known although its placement was still stored.
    const auto& failed_runs = (gang ? step.tasks[0] : task).failed_runs;
    if (task.current_phase == workflow_task::phase::done ||
        std::ranges::find(failed_runs, run) != failed_runs.end() ||
        !task.crashes.add({.run = run,
                           .evidence = implicated.evidence,
                           .target = target.name,
                           .born_ms = target.born_ms}))
        return;
    step.crashes_seen = true;
    this->progress.add({.workflow = name.workflow,
                        .step = name.step,
                        .index = name.index,
                        .run = run,
                        .how = static_cast<int>(crash_ending(implicated.evidence)),
                        .checkpoint = {},
                        .target = target.name,
                        .target_born_ms = target.born_ms},
                       {});
    this->env.metrics.add(fmt::format("crashed_runs_{}", evidence_name(implicated.evidence)));
    if (implicated.evidence == crash_evidence::bystander)
        return;
    this->env.log.write("coordinator", "run_crashed",
                        {{"workflow", name.workflow},
                         {"step", name.step},
                         {"index", name.index},
                         {"run", run},
                         {"target", target.name},
                         {"born_ms", target.born_ms},
                         {"evidence", evidence_name(implicated.evidence)},
                         {"confirmed", implicated.started},
                         {"sole", implicated.evidence == crash_evidence::sole_suspect},
                         {"listed", implicated.listed},
                         {"stop_sent", implicated.stopping},
                         {"inherited", implicated.inherited},
                         {"crashes", task.crashes.crashes().size()}});
    if (!task.crashes.is_culprit())
        return;
    std::string crashed;
    for (const auto& crash : task.crashes.crashes())
        crashed += (crashed.empty() ? "" : " ") +
                   (crash.target.empty() ? std::string("earlier") : crash.target);
    this->env.metrics.add("tasks_given_up");
    this->env.log.write("coordinator", "task_given_up",
                        {{"workflow", name.workflow},
                         {"step", name.step},
                         {"index", name.index},
                         {"queue", owner.record.queue},
                         {"team", owner.record.team},
                         {"targets", crashed}});
    this->fail_workflow(owner, fmt::format("step {} task {} crashes its targets: {}", name.step,
                                           name.index, task.crashes.describe()));
}

void coordinator::discount_crashes(const task_name& name, const placed_run& placed)
{
    if (placed.owner == nullptr || is_final(placed.owner->state) || placed.adopted ||
        placed.in_later_life || placed.started_at + settle_time > boot_time())
        return;
    auto& task = placed.owner->steps[name.step].tasks[name.index];
    if (!task.crashes.is_suspect() || task.crashes.crashes_late() ||
        !task.crashes.discount(placed.run))
        return;
    task.sound_run = placed.run;
    this->env.metrics.add("crashes_discounted");
    this->env.log.write("coordinator", "crashes_discounted",
                        {{"workflow", name.workflow},
                         {"step", name.step},
                         {"index", name.index},
                         {"run", placed.run}});
    this->progress.add({.workflow = name.workflow,
                        .step = name.step,
                        .index = name.index,
                        .run = placed.run,
                        .how = static_cast<int>(progress_entry::ending::outlived_start),
                        .checkpoint = {}},
                       {});
}

bool coordinator::is_suspect(const workflow& owner, std::uint32_t step_index,
                             std::uint32_t index) const
{
    const auto& step = owner.steps[step_index];
    if (!step.crashes_seen)
        return false;
    const auto& tasks = step.tasks;
    if (!owner.record.spec.steps[step_index].gang)
        return tasks[index].crashes.is_suspect();
    return std::ranges::any_of(
        tasks, [](const workflow_task& member) { return member.crashes.is_suspect(); });
}

bool coordinator::is_quiet(const fleet_target& target, milliseconds now)
{
    return std::ranges::all_of(target.tasks, [now](const auto& entry) {
        return entry.second.started && entry.second.started_at + suspect_window < now;
    });
}

std::vector<step_candidate>
coordinator::candidates_for_suspects(const std::vector<step_candidate>& candidates, bool may_share)
{
    const auto now = boot_time();
    std::vector<step_candidate> found;
    for (const auto& candidate : candidates) {
        if (candidate.advice_state == step_candidate::advice_permission::allowed &&
            (may_share || is_quiet(*candidate.target, now)))
            found.push_back(candidate);
    }
    // Fewest runs first: a crash ends them all.
    std::ranges::stable_sort(
        found, {}, [](const step_candidate& candidate) { return candidate.target->tasks.size(); });
    return found;
}

std::uint32_t coordinator::place_suspects(workflow& owner, std::uint32_t step_index,
                                          std::vector<step_candidate>& candidates,
                                          std::uint32_t allowed)
{
    auto& step = owner.steps[step_index];
    if (!step.crashes_seen)
        return 0;
    const auto now = boot_time();
    std::uint32_t waiting = 0;
    bool unsettled = false; // a suspect of the step may still crash its target
    bool proven = false;
    for (const auto& task : step.tasks) {
        if (task.current_phase == workflow_task::phase::done || !task.crashes.is_suspect())
            continue;
        proven = proven || task.crashes.is_prime_suspect();
        waiting += task.current_phase == workflow_task::phase::waiting ? 1 : 0;
        unsettled = unsettled || (task.target != nullptr && task.target->isolated(now)) ||
                    task.current_phase == workflow_task::phase::awaiting_target;
    }
    if (waiting == 0 && !(proven && unsettled)) {
        step.suspects_wait_since = milliseconds(0);
        return 0;
    }
    if (step.suspects_wait_since.count() == 0)
        step.suspects_wait_since = now;
    const bool waited_long = now - step.suspects_wait_since > max_wait_for_isolation;
    const auto isolated = static_cast<std::size_t>(std::ranges::count_if(
        this->targets, [now](const auto& entry) { return entry.second->isolated(now); }));
    const auto limit = std::max<std::size_t>(1, this->targets.size() / isolation_share);
    std::size_t wanted = std::min(waiting, allowed);
    if (proven)
        wanted = unsettled ? 0 : std::min<std::size_t>(wanted, 1);
    wanted = std::min(wanted, limit - std::min(limit, isolated));
    if (waited_long && !(proven && unsettled))
        wanted = std::max<std::size_t>(wanted, std::min<std::size_t>(1, allowed));
    const bool any_allowed = std::ranges::any_of(candidates, [](const step_candidate& candidate) {
        return candidate.advice_state == step_candidate::advice_permission::allowed;
    });
    auto suitable = candidates_for_suspects(candidates, waited_long);
    // Other targets than those that crashed first: the target may be at fault, not the task.
    std::stable_partition(suitable.begin(), suitable.end(), [&](const step_candidate& candidate) {
        return !has_crashed_under(step, candidate.target->report.name);
    });
    std::vector<fleet_target*> chosen;
    std::size_t probed = 0;
    for (const auto& candidate : suitable) {
        if (chosen.size() + probed >= wanted)
            break;
        auto& session = *candidate.target->session;
        // A target that is down already would seem to crash under the task.
        if (waited_long || session.last_answer_at() + suspect_window >= now) {
            chosen.push_back(candidate.target);
            continue;
        }
        ++probed;
        this->env.metrics.add("suspect_probes");
        session.probe();
    }
    this->place_tasks(owner, step_index, chosen, true);
    std::erase_if(candidates, [now](const step_candidate& candidate) {
        return candidate.target->isolated(now);
    });
    if (!chosen.empty())
        step.suspects_wait_since = chosen.size() == waiting ? milliseconds(0) : now;
    // The other tasks of the step may be like its proven suspect: they wait until it is clear.
    if (!any_allowed && !(proven && unsettled))
        return proven ? allowed - 1 : 0;
    return proven ? allowed : std::min(waiting, allowed);
}

void coordinator::keep_quiet_candidates(workflow_step& step,
                                        std::vector<step_candidate>& candidates)
{
    const auto now = boot_time();
    if (step.suspects_wait_since.count() == 0)
        step.suspects_wait_since = now;
    if (now - step.suspects_wait_since > max_wait_for_isolation)
        return;
    std::erase_if(candidates, [now](const step_candidate& candidate) {
        return candidate.advice_state == step_candidate::advice_permission::allowed &&
               !is_quiet(*candidate.target, now);
    });
}

void coordinator::count_inherited_crashes(const target_identity& target,
                                          const std::vector<placement_entry>& placements,
                                          bool target_restarted)
{
    std::vector<implicated_run> runs;
    for (const auto& placement : placements) { // whether they were started is not known
        // Of the runs of one task only the last one can have been there.
        const auto* owner = this->find_workflow(placement.workflow);
        const bool last = owner != nullptr && placement.step < owner->steps.size() &&
                          placement.index < owner->steps[placement.step].tasks.size() &&
                          placement.run == owner->steps[placement.step].tasks[placement.index].run;
        const bool soon = target_restarted && last && this->restarted_soon_after(placement);
        runs.push_back({.task = placement.task(),
                        .run = placement.run,
                        .evidence = soon ? crash_evidence::unanswered : crash_evidence::unconfirmed,
                        .recent = soon,
                        .inherited = true});
    }
    if (target_restarted)
        this->count_crash(target, runs);
    else if (!runs.empty())
        this->lost_lives[target.name] = {
            .born_ms = target.born_ms, .lost_at = boot_time(), .runs = std::move(runs)};
}

bool coordinator::restarted_soon_after(const placement_entry& placement) const
{
    const auto age = milliseconds(wall_microseconds() / 1000 - placement.written_wall_ms);
    return placement.written_wall_ms != 0 && placement.late_ms != 0 && age.count() >= 0 &&
           age <= this->env.task_lease && !this->lost_before_load.contains(placement.target);
}

void coordinator::find_inherited_losses()
{
    std::map<std::string_view, const target_report*> listed;
    for (const auto& report : this->latest_reports)
        listed[report.name] = &report;
    std::vector<const target_report*> lost;
    for (const auto& [name, entries] : this->awaited_placements) {
        const auto found = listed.find(name);
        if (found != listed.end() &&
            std::ranges::any_of(entries, [&](const awaited_placement& entry) {
                return entry.placement.target_born_ms < found->second->born_ms;
            }))
            lost.push_back(found->second);
    }
    std::vector<const target_report*> survivors;
    const auto recent_ms = wall_microseconds() / 1000 - this->env.task_lease.count();
    for (const auto& report : this->latest_reports) {
        if (report.born_ms < recent_ms && std::ranges::find(lost, &report) == lost.end())
            survivors.push_back(&report);
    }
    for (const auto* report : lost) {
        const auto groups = groups_of(*report);
        const bool with_group = std::ranges::any_of(groups, [&](const target_group& in_group) {
            const auto count = [&](const auto& among) {
                return static_cast<std::size_t>(std::ranges::count_if(
                    among, [&](const auto* other) { return in_group(*other); }));
            };
            return count(lost) >= min_group_losses &&
                   count(lost) >= losses_per_survivor * count(survivors);
        });
        if (with_group)
            this->lost_before_load.insert(report->name);
    }
}

void coordinator::record_answer(const fleet_target& target)
{
    this->resolve_lost_life(target.report.name, target.report.born_ms);
    if (const auto* loss = this->target_losses.find(target.report.name);
        loss != nullptr && target.added_at < loss->noticed_at)
        this->target_losses.remove(target.report.name);
}

void coordinator::isolate(fleet_target& target, bool until_end)
{
    target.isolated_until = until_end ? milliseconds::max() : boot_time() + unconfirmed_isolation;
}

void coordinator::update_isolation(fleet_target& target, const placed_run& placed)
{
    if (placed.suspect && target.isolated_until != milliseconds::max())
        target.isolated_until = boot_time() + settle_time;
}

} // namespace verbenalever
