// Targets: which there are, what runs on them, and what has been lost.

#include "coordination/commit_chain.h"
#include "coordination/leadership.h"
#include "coordinator/coordinator.h"
#include "coordinator/target_session.h"
#include "membership/message_codec.h"
#include "ports/target_directory.h"
#include "timeline/event_log.h"

#include <algorithm>

namespace verbenalever {

namespace {

/// How long a coordinator that cannot reach the store renews the leases of tasks before it steps
/// down; after that and one task lease nothing that it has started runs any more.
constexpr milliseconds predecessor_grace{3000};
/// A member that left this long ago, while the store was there, has found its place.
constexpr milliseconds member_rest{10'000};
/// Wait before an order that got no answer is given again.
constexpr milliseconds resend_wait{150};

} // namespace

void coordinator::take_directory(const std::vector<target_report>& reports)
{
    this->reports = reports;
    if (!this->loaded)
        return;
    for (auto& [name, target] : this->targets)
        target->listed = false;
    for (const auto& report : reports) {
        const auto found = this->targets.find(report.name);
        if (found != this->targets.end() && found->second->report.born_ms != report.born_ms)
            this->drop_target(report.name, "reborn");
        if (const auto known = this->targets.find(report.name); known != this->targets.end()) {
            known->second->listed = true;
            if (report.leaving && !known->second->report.leaving)
                this->around.log.write("coordinator", "target_leaving", {{"target", report.name}});
            known->second->report = report;
        }
        else {
            this->add_target(report);
        }
    }
    this->check_adoption();
    this->request_pass();
}

void coordinator::add_target(const target_report& report)
{
    auto added = std::make_unique<fleet_target>(report);
    auto& target = *added;
    target.session = std::make_unique<target_session>(
        this->around.loop, this->around.orders,
        target_life{report.name, report.born_ms, report.address}, this->term,
        this->around.task_lease,
        target_session::callbacks{
            .may_extend = [this] { return this->may_extend_leases(); },
            .viewed = [this, &target](const target_view& view,
                                      milliseconds sent) { this->take_view(target, view, sent); },
            .fenced = [this] { this->office.abdicate("a target has heard a newer coordinator"); },
            .reborn = [this, &target] { target.ended_life = true; },
            .reached =
                [this, &target](bool reachable) {
                    this->around.log.write(
                        "coordinator", reachable ? "target_answers" : "target_silent",
                        {{"target", target.report.name}, {"tasks", target.tasks.size()}});
                    if (reachable)
                        this->request_pass();
                }});
    target.change = this->target_changes + 1;
    this->targets[report.name] = std::move(added);
    target.session->begin();
    this->store_targets();
}

void coordinator::drop_target(const std::string& name, std::string_view reason)
{
    const auto found = this->targets.find(name);
    if (found == this->targets.end())
        return;
    auto& target = *found->second;
    this->around.log.write("coordinator", "target_dropped",
                           {{"target", name}, {"reason", reason}, {"tasks", target.tasks.size()}});
    while (!target.tasks.empty()) {
        const auto task = target.tasks.begin()->first;
        this->run_lost(target, task, reason);
    }
    this->targets.erase(name);
}

void coordinator::check_targets()
{
    const auto now = boot_time();
    if (!this->may_extend_leases()) {
        this->office.abdicate("the store has not been reached for long");
        return;
    }
    if (this->office.certain())
        this->around.forget_members(now - member_rest);
    this->refuse_unsent();
    std::vector<std::pair<std::string, std::string_view>> gone;
    for (auto& [name, target] : this->targets) {
        if (target->ended_life) {
            gone.emplace_back(name, "reborn");
            continue;
        }
        const bool silent = !target->session->reachable() || !target->session->held();
        const bool lapsed = silent && now > target->session->lapse_time();
        if (!target->listed && this->around.directory.settled() &&
            (lapsed || (target->tasks.empty() && !silent)))
            gone.emplace_back(name, "left");
        else if (lapsed && !target->tasks.empty())
            this->lose_all(*target, "lapsed");
        else
            this->resend_orders(*target, now);
    }
    for (const auto& [name, reason] : gone)
        this->drop_target(name, reason);
    this->check_adoption();
    this->request_pass();
}

bool coordinator::may_extend_leases() const
{
    // While every member is here, none of them has taken over.
    return this->office.unconfirmed_for() < predecessor_grace ||
           (this->around.members_complete && this->around.members_complete());
}

void coordinator::store_targets()
{
    // A successor waits for each of these, also when the platform's list no longer has it.
    this->chain.put(
        this->targets_key(),
        [this, alive = this->alive]() -> std::optional<std::string> {
            std::map<std::string, std::int64_t> lives;
            if (*alive) {
                for (const auto& [name, target] : this->targets)
                    lives.emplace(name, target->report.born_ms);
            }
            return pack_message(lives);
        },
        true,
        [this, alive = this->alive, serial = ++this->target_changes] {
            if (!*alive)
                return;
            for (auto& [name, target] : this->targets)
                target->recorded = target->recorded || target->change <= serial;
            this->request_pass();
        });
}

void coordinator::lose_all(fleet_target& target, std::string_view reason)
{
    this->around.log.write("coordinator", "runs_lapsed",
                           {{"target", target.report.name}, {"tasks", target.tasks.size()}});
    while (!target.tasks.empty()) {
        const auto task = target.tasks.begin()->first;
        this->run_lost(target, task, reason);
    }
    this->update_looks(target);
}

std::size_t coordinator::unseen_targets() const
{
    std::size_t unseen = 0;
    for (const auto& [name, target] : this->targets)
        unseen += target->listed && !target->session->held() ? 1 : 0;
    for (const auto& [name, born] : this->inherited_targets)
        unseen += this->targets.contains(name) ? 0 : 1;
    return unseen;
}

void coordinator::check_adoption()
{
    if (this->adopted || !this->loaded)
        return;
    const auto elapsed = boot_time() - this->began_at;
    const auto limit = predecessor_grace + this->around.task_lease * 102 / 100;
    const auto unseen = this->unseen_targets();
    if (unseen > 0 && elapsed < limit)
        return;
    this->adopted = true;
    this->around.log.write("coordinator", "adopted",
                           {{"ms", elapsed.count()}, {"unseen", unseen}, {"term", this->term}});
    this->request_pass();
}

void coordinator::take_view(fleet_target& target, const target_view& view, milliseconds sent)
{
    const auto still_here = this->alive;
    for (const auto& end : view.ended)
        this->take_end(target, end);
    std::set<task_name> seen;
    for (const auto& row : view.running) {
        seen.insert(row.task);
        this->take_running(target, row);
    }
    this->find_missing(target, seen, sent);
    if (!*still_here)
        return;
    this->update_looks(target);
    this->check_adoption();
    this->request_pass();
}

void coordinator::take_running(fleet_target& target, const target_view::running_task& row)
{
    const auto found = target.tasks.find(row.task);
    if (found == target.tasks.end()) {
        this->adopt(target, row);
        return;
    }
    auto& placed = found->second;
    if (placed.run != row.run) {
        if (row.run < placed.run)
            this->stop_run(target, row.task, row.run);
        return;
    }
    placed.started = true;
    if (row.percent > placed.percent || placed.percent_at.count() == 0) {
        placed.percent = row.percent;
        placed.percent_at = boot_time();
    }
    if (placed.owner != nullptr && !row.checkpoint.empty() && !is_final(placed.owner->state)) {
        auto& step = placed.owner->steps[row.task.step];
        step.tasks[row.task.index].checkpoint = row.checkpoint;
    }
}

void coordinator::adopt(fleet_target& target, const target_view::running_task& row)
{
    auto* owner = this->find(row.task.workflow);
    const bool wanted = owner != nullptr && !is_final(owner->state) &&
                        row.task.step < owner->steps.size() &&
                        row.task.index < owner->steps[row.task.step].tasks.size();
    placed_task placed{.run = row.run,
                       .started = true,
                       .settled_at = boot_time(),
                       .ordered_at = boot_time(),
                       .percent = row.percent,
                       .percent_at = boot_time()};
    if (!wanted) {
        target.place(row.task, placed);
        this->stop_run(target, row.task, row.run);
        return;
    }
    auto& step = owner->steps[row.task.step];
    auto& task = step.tasks[row.task.index];
    placed.owner = owner;
    placed.need = owner->record.spec.steps[row.task.step].need;
    target.place(row.task, placed);
    this->team_use[owner->record.team] += placed.need;
    ++owner->placed;
    owner->began = true;
    const bool duplicate = task.at != workflow_task::phase::waiting;
    this->around.log.write("coordinator", duplicate ? "duplicate_seen" : "task_adopted",
                           {{"workflow", row.task.workflow},
                            {"step", row.task.step},
                            {"index", row.task.index},
                            {"run", row.run},
                            {"target", target.report.name}});
    if (duplicate) {
        this->stop_run(target, row.task, row.run);
        return;
    }
    task.at = workflow_task::phase::placed;
    task.target = &target;
    task.run = std::max(task.run, row.run);
    if (!row.checkpoint.empty())
        task.checkpoint = row.checkpoint;
    if (--step.waiting == 0)
        this->unlist(*owner, row.task.step);
}

void coordinator::find_missing(fleet_target& target, const std::set<task_name>& seen,
                               milliseconds sent)
{
    std::vector<task_name> missing;
    for (const auto& [task, placed] : target.tasks) {
        // Only an order that was answered before the look was sent must show in it.
        if (placed.settled_at.count() != 0 && placed.settled_at < sent && !seen.contains(task))
            missing.push_back(task);
    }
    for (const auto& task : missing)
        this->run_lost(target, task, "not_there");
}

void coordinator::update_looks(fleet_target& target)
{
    target.session->want_looks(!target.tasks.empty());
}

void coordinator::stop_run(fleet_target& target, const task_name& task, std::int64_t run)
{
    if (const auto found = target.tasks.find(task);
        found != target.tasks.end() && found->second.run == run) {
        found->second.stopping = true;
        found->second.settled_at = milliseconds(0);
        found->second.ordered_at = boot_time();
    }
    target.session->stop(
        task, run, [this, alive = this->alive, &target, task, run](const order_result& result) {
            if (!*alive)
                return;
            const auto found = target.tasks.find(task);
            if (found == target.tasks.end() || found->second.run != run)
                return;
            found->second.ordered_at = boot_time();
            if (result.how == order_result::outcome::done) {
                found->second.settled_at = boot_time();
                this->update_looks(target);
            }
        });
    target.session->want_looks(true);
}

void coordinator::resend_orders(fleet_target& target, milliseconds now)
{
    if (!target.session->reachable())
        return;
    std::vector<std::pair<task_name, std::int64_t>> stops;
    std::vector<task_name> starts;
    for (auto& [task, placed] : target.tasks) {
        if (placed.settled_at.count() != 0 || placed.open_orders > 0 ||
            now - placed.ordered_at < resend_wait)
            continue;
        if (placed.stopping)
            stops.emplace_back(task, placed.run);
        else if (!placed.started)
            starts.push_back(task);
    }
    for (const auto& [task, run] : stops)
        this->stop_run(target, task, run);
    for (const auto& task : starts)
        this->send_start(target, task);
}

} // namespace verbenalever
