// Starts that were sent and not confirmed before their runs were given up. A target may still
// execute them, under a lease that is renewed for other runs, while their tasks run elsewhere.

#include "coordinator/coordinator.h"
#include "coordinator/target_session.h"
#include "timeline/event_log.h"

namespace verbenalever {

namespace {

/// How long the unresolved starts of a target that does not return are remembered. Orders are
/// executed seconds late at the most.
constexpr milliseconds removed_starts_retention{60'000};

} // namespace

void coordinator::collect_unresolved_starts(fleet_target& target)
{
    for (const auto& [task, placed] : target.tasks) {
        if (placed.start_sent && !placed.started)
            target.unresolved_starts[task] = {.run = placed.run};
    }
}

void coordinator::keep_unresolved_starts(const fleet_target& target)
{
    const auto now = boot_time();
    std::erase_if(this->removed_unresolved_starts, [now](const auto& kept) {
        return kept.second.removed_at + removed_starts_retention < now;
    });
    if (!target.unresolved_starts.empty())
        this->removed_unresolved_starts[target.report.name] = {target.unresolved_starts, now};
}

void coordinator::restore_unresolved_starts(fleet_target& target)
{
    const auto kept = this->removed_unresolved_starts.find(target.report.name);
    if (kept == this->removed_unresolved_starts.end())
        return;
    for (const auto& [task, start] : kept->second.starts)
        target.unresolved_starts[task] = {.run = start.run};
    this->removed_unresolved_starts.erase(kept);
}

void coordinator::stop_unresolved_starts(fleet_target& target)
{
    if (target.unresolved_starts.empty() || !target.session->reachable())
        return;
    for (auto& entry : target.unresolved_starts) {
        auto& start = entry.second;
        if (start.stop_in_flight)
            continue;
        start.stop_in_flight = true;
        target.session->stop(
            entry.first, start.run,
            [this, &target, task = entry.first, run = start.run](const order_result& result) {
                const auto found = target.unresolved_starts.find(task);
                if (found == target.unresolved_starts.end() || found->second.run != run)
                    return;
                found->second.stop_in_flight = false;
                if (result.how != order_result::outcome::done)
                    return;
                this->env.log.write("coordinator", "late_start_prevented",
                                    {{"workflow", task.workflow},
                                     {"step", task.step},
                                     {"index", task.index},
                                     {"run", run},
                                     {"target", target.report.name}});
                target.unresolved_starts.erase(found);
                if (target.unresolved_starts.empty())
                    this->request_scheduling_pass();
            });
    }
}

} // namespace verbenalever
