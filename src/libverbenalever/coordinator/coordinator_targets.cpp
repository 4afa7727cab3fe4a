// Adds and removes targets, tracks their leases, and sends stop and repeated start orders.

#include "coordination/commit_chain.h"
#include "coordination/leadership.h"
#include "coordinator/coordinator.h"
#include "coordinator/target_session.h"
#include "ports/target_directory.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"

#include <algorithm>
#include <map>
#include <utility>

namespace verbenalever {

namespace {

/// A member that left this long ago, while the store was reachable, is no longer waited for.
constexpr milliseconds departed_member_retention{10'000};
/// Nothing is started on an older list of targets. The platform counts a capacity that has shrunk
/// for this long after the target's next heartbeat, with which the list has it.
constexpr milliseconds max_list_age{3000};
/// Wait before an order without an answer is sent again.
constexpr milliseconds resend_wait{150};
/// Targets of a zone that may be silent that are probed in each check_interval.
constexpr int probes_per_zone = 3;
/// Reason for the removal of a target that began a new life.
constexpr std::string_view reborn = "reborn";

bool has_urgent_runs(const fleet_target& target)
{
    return std::ranges::any_of(target.tasks, [](const auto& entry) {
        return entry.second.owner != nullptr && entry.second.owner->urgent();
    });
}

} // namespace

void coordinator::apply_directory(const std::vector<target_report>& reports)
{
    this->latest_reports = reports;
    this->env.on_fleet_size(reports.size());
    if (!this->loaded)
        return;
    for (auto& [name, target] : this->targets)
        target->in_directory = false;
    const auto ended = std::exchange(this->ended_lives, {});
    for (const auto& report : reports) {
        const auto found = this->targets.find(report.name);
        if (const auto life = ended.find(report.name);
            life != ended.end() && life->second == report.born_ms) {
            this->ended_lives.insert(*life);
            continue;
        }
        if (found != this->targets.end() && report.born_ms < found->second->report.born_ms) {
            // Written late by an earlier life of the target; the present one writes its own.
            this->env.log.write("coordinator", "registration_outdated",
                                {{"target", report.name}, {"born_ms", report.born_ms}});
            continue;
        }
        if (found != this->targets.end() && found->second->report.born_ms != report.born_ms)
            this->remove_target(report.name, reborn);
        if (const auto known = this->targets.find(report.name); known != this->targets.end()) {
            known->second->in_directory = true;
            if (report.leaving && !known->second->report.leaving)
                this->env.log.write("coordinator", "target_leaving", {{"target", report.name}});
            if (report.capacity != known->second->report.capacity)
                this->log_capacity_change(*known->second, report.capacity);
            known->second->update_report(report);
        }
        else {
            this->add_target(report);
        }
    }
    this->update_adoption();
    this->request_scheduling_pass();
}

void coordinator::log_capacity_change(const fleet_target& target, const resources& capacity) const
{
    const auto& former = target.report.capacity;
    this->env.log.write("coordinator", "target_capacity",
                        {{"target", target.report.name},
                         {"processors_milli", capacity.processors_milli},
                         {"processors_milli_before", former.processors_milli},
                         {"processors_milli_used", target.used.processors_milli},
                         {"memory_mb", capacity.memory_mb},
                         {"memory_mb_before", former.memory_mb},
                         {"memory_mb_used", target.used.memory_mb},
                         {"accelerators", capacity.accelerators},
                         {"accelerators_before", former.accelerators},
                         {"accelerators_used", target.used.accelerators}});
}

void coordinator::add_target(const target_report& report)
{
    auto added =
        std::make_unique<fleet_target>(report, ++this->last_registration, this->free_targets);
    auto& target = *added;
    target.added_at = boot_time();
    target.session = std::make_unique<target_session>(
        this->env.loop, this->env.orders,
        target_life{report.name, report.born_ms, report.address, report.availability_zone},
        order_authority{.fencing_token = this->fencing_token_for(report.name), .term = this->term},
        this->env.task_lease, this->env.longest_task_lease,
        target_session::callbacks{
            .may_renew_leases =
                [this, &target] {
                    return target.unresolved_starts.empty() && this->may_renew_leases();
                },
            .poll_answered =
                [this, &target](const target_view& view, milliseconds sent) {
                    this->apply_poll_result(target, view, sent);
                },
            .fenced =
                [this] { this->election.abdicate("a target has received a newer fencing token"); },
            .restarted = [&target] { target.restarted = true; },
            .reachability_changed =
                [this, &target](bool reachable) {
                    this->env.log.write(
                        "coordinator", reachable ? "target_answers" : "target_silent",
                        {{"target", target.report.name}, {"tasks", target.tasks.size()}});
                    if (reachable) {
                        this->stop_unresolved_starts(target);
                        this->request_scheduling_pass();
                    }
                    else {
                        this->record_target_loss(target);
                        this->silent_zones.record_missed_answer(target.report.availability_zone);
                    }
                }});
    this->targets[report.name] = std::move(added);
    this->restore_unresolved_starts(target);
    this->resolve_lost_life(report.name, report.born_ms);
    target.session->start_polling();
}

std::int64_t coordinator::fencing_token_for(const std::string& target)
{
    // Orders for a former life must have no effect once its successor has been polled. A revision
    // that this coordinator has written is greater than its earlier ones, and less than the term of
    // any later coordinator.
    return this->known_targets.insert(target).second ? this->term : this->chain.revision();
}

void coordinator::remove_target(const std::string& name, std::string_view reason)
{
    const auto found = this->targets.find(name);
    if (found == this->targets.end())
        return;
    auto& target = *found->second;
    this->env.log.write("coordinator", "target_dropped",
                        {{"target", name},
                         {"reason", reason},
                         {"born_ms", target.report.born_ms},
                         {"tasks", target.tasks.size()}});
    for (const auto& [task, placed] : target.tasks) {
        if (may_start_in_next_life(placed))
            add_unresolved_start(target, task, placed);
    }
    this->keep_unresolved_starts(target);
    const auto runs = this->assess_crash(target);
    if (reason == reborn && !target.report.leaving)
        this->record_target_loss(target);
    this->remember_lost_life(target, runs);
    while (!target.tasks.empty()) {
        const auto task = target.tasks.begin()->first;
        this->mark_run_lost(target, task, reason);
    }
    if (reason == reborn) {
        this->hold_tasks_of_unresolved_starts(name);
        this->resolve_lost_life(name, target.report.born_ms + 1);
    }
    this->targets.erase(name);
}

void coordinator::check_targets()
{
    const auto now = boot_time();
    if (const bool renewing = this->may_renew_leases(); renewing != this->renewing_leases) {
        this->renewing_leases = renewing;
        this->env.log.write(
            "coordinator", renewing ? "leases_renewed_again" : "leases_not_renewed",
            {{"reason", renewing && !this->confirmed_by_store() ? "members" : "store"},
             {"unconfirmed_ms", this->election.time_since_confirmed().count()}});
    }
    if (const bool recent = this->list_is_recent(); recent != this->list_was_recent) {
        this->list_was_recent = recent;
        this->env.log.write(
            "coordinator", recent ? "target_list_recent" : "target_list_too_old",
            {{"age_ms", (boot_time() - this->env.directory.up_to_date_at()).count()}});
    }
    if (this->election.is_lease_valid())
        this->env.forget_departed_members(now - departed_member_retention);
    this->refuse_unsent_submissions();
    std::vector<std::pair<std::string, std::string_view>> targets_to_remove;
    for (auto& [name, target] : this->targets) {
        if (target->restarted) {
            targets_to_remove.emplace_back(name, reborn);
            continue;
        }
        const bool unreachable = !target->session->reachable() || !target->session->polled();
        const bool lease_expired = unreachable && now > target->session->lease_expiry();
        if (lease_expired)
            this->mark_expired_runs_lost(*target, now);
        if (!target->in_directory && this->env.directory.is_current() && target->tasks.empty() &&
            (lease_expired || !unreachable))
            targets_to_remove.emplace_back(name, "left");
        else if (!lease_expired || target->tasks.empty()) {
            this->stop_unresolved_starts(*target);
            this->resend_orders(*target, now);
        }
    }
    for (const auto& [name, reason] : targets_to_remove) {
        if (const auto& target = *this->targets.at(name); target.restarted)
            this->ended_lives[name] = target.report.born_ms;
        this->remove_target(name, reason);
    }
    // The registration of a new life may have been read before the end of the last one was noticed.
    if (!targets_to_remove.empty())
        this->apply_directory(std::vector(this->latest_reports));
    this->probe_suspected_zones();
    this->release_overdue_tasks(now);
    this->update_adoption();
    this->usage_by_team.decay_urgent_peaks();
    this->update_fleet_capacity();
    this->request_scheduling_pass();
}

void coordinator::probe_suspected_zones()
{
    if (!this->silent_zones.any_suspected())
        return;
    std::map<std::string_view, int> probed;
    for (const auto& [name, target] : this->targets) {
        const auto& zone = target->report.availability_zone;
        if (!target->session->reachable() || !target->session->polled() ||
            !this->silent_zones.is_suspected(zone) || ++probed[zone] > probes_per_zone)
            continue;
        this->env.metrics.add("zone_probes");
        target->session->probe();
    }
    for (const auto& [zone, count] : probed)
        this->env.log.write("coordinator", "zone_probed",
                            {{"availability_zone", zone}, {"reachable", count}});
}

void coordinator::update_fleet_capacity()
{
    const auto now = boot_time();
    this->evaluation_time = now; // for in_unusable_zone()
    this->fleet_capacity = {};
    this->capacity_by_pool.clear();
    for (const auto& [name, target] : this->targets) {
        if (!target->usable(now) || this->in_unusable_zone(*target))
            continue;
        this->fleet_capacity += target->report.capacity;
        auto& pool = this->capacity_by_pool[target->report.pool];
        pool.processors_milli += target->report.capacity.processors_milli;
        pool.used_milli += target->used.processors_milli;
    }
    this->total_team_weight = 0;
    for (const auto& team : this->configuration->teams)
        this->total_team_weight += team.weight;
}

bool coordinator::list_is_recent() const
{
    return boot_time() - this->env.directory.up_to_date_at() <= max_list_age;
}

bool coordinator::confirmed_by_store() const
{
    return this->election.time_since_confirmed() < renewal_grace;
}

bool coordinator::may_renew_leases() const
{
    // A member that answers a heartbeat had not been elected when the heartbeat was sent. A
    // successor waits for leases that were renewed until renewal_grace after its election.
    return this->confirmed_by_store() || (this->env.all_members_answered_within &&
                                          this->env.all_members_answered_within(renewal_grace));
}

void coordinator::mark_expired_runs_lost(fleet_target& target, milliseconds now)
{
    // The target may have restarted unnoticed and run there what was sent to its former life.
    std::set<task_name> expired;
    std::vector<task_name> startable; // expired, and a late order must be refused from now on
    for (const auto& [task, placed] : target.tasks) {
        const bool may_start = may_start_in_next_life(placed);
        if (may_start && now <= next_life_expiry(target, placed))
            continue;
        expired.insert(task);
        if (may_start)
            startable.push_back(task);
    }
    if (expired.empty())
        return;
    // The target may have gone on, and crashed only after the leases had ended.
    auto implicated = this->assess_crash(target);
    std::erase_if(implicated, [&](const auto& run) { return !expired.contains(run.task); });
    for (auto& run : implicated)
        run.evidence = std::min(run.evidence, run.recent ? crash_evidence::unanswered
                                                         : crash_evidence::bystander);
    this->remember_lost_life(target, implicated);
    this->env.log.write("coordinator", "runs_lapsed",
                        {{"target", target.report.name},
                         {"tasks", expired.size()},
                         {"others", target.tasks.size() - expired.size()},
                         {"expired_for_ms", (now - target.session->lease_expiry()).count()}});
    for (const auto& task : startable)
        add_unresolved_start(target, task, target.tasks.at(task));
    for (const auto& task : expired) {
        // The end of one member of a gang may have removed others.
        if (target.tasks.contains(task))
            this->mark_run_lost(target, task, "lapsed");
    }
    this->update_polling(target);
}

void coordinator::update_polling(fleet_target& target)
{
    target.session->set_polling(!target.tasks.empty(), has_urgent_runs(target));
}

void coordinator::stop_run(fleet_target& target, const task_name& task, std::int64_t run)
{
    if (const auto found = target.tasks.find(task);
        found != target.tasks.end() && found->second.run == run) {
        if (!found->second.start_sent) {
            // No start was sent, so there is nothing to stop.
            auto* owner = found->second.owner;
            this->remove_run(target, task);
            if (is_final(owner->state))
                owner->steps[task.step].tasks[task.index].target = nullptr;
            else
                this->requeue_task(*owner, task);
            return;
        }
        found->second.stopping = true;
        if (found->second.stop_sent_at.count() == 0)
            found->second.stop_sent_at = boot_time();
        found->second.order_confirmed_at = milliseconds(0);
        found->second.last_order_at = boot_time();
    }
    target.session->stop(
        task, run, [this, alive = this->alive, &target, task, run](const order_result& result) {
            if (!*alive)
                return;
            const auto found = target.tasks.find(task);
            if (found == target.tasks.end() || found->second.run != run)
                return;
            found->second.last_order_at = boot_time();
            if (result.how == order_result::outcome::done) {
                found->second.order_confirmed_at = boot_time();
                this->update_polling(target);
            }
        });
    target.session->set_polling(true, has_urgent_runs(target));
}

void coordinator::resend_orders(fleet_target& target, milliseconds now)
{
    if (!target.session->reachable())
        return;
    const bool recent = this->list_is_recent();
    std::vector<std::pair<task_name, std::int64_t>> stops;
    std::vector<task_name> starts;
    for (auto& [task, placed] : target.tasks) {
        if (placed.order_confirmed_at.count() != 0 || placed.unanswered_starts > 0 ||
            !placed.start_sent || now - placed.last_order_at < resend_wait)
            continue;
        // The end of one member ends a gang, perhaps before another member's start was confirmed.
        const bool workflow_over = placed.owner == nullptr || is_final(placed.owner->state);
        if (placed.stopping || (workflow_over && !placed.started))
            stops.emplace_back(task, placed.run);
        else if (!placed.started && recent)
            starts.push_back(task);
    }
    for (const auto& [task, run] : stops)
        this->stop_run(target, task, run);
    for (const auto& task : starts) {
        if (const auto found = target.tasks.find(task);
            found != target.tasks.end() && !target.can_start(found->second.need))
            this->withdraw_start(target, task, "capacity");
        else
            this->send_start_order(target, task);
    }
}

} // namespace verbenalever
