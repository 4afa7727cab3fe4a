// Definitions of queues and teams that outlive their place in the configuration: their storage,
// workflows that follow a queue to another pool, and the attempts that a queue allows.

#include "coordination/commit_chain.h"
#include "coordinator/coordinator.h"
#include "coordinator/target_session.h"
#include "ports/metadata_store.h"
#include "timeline/event_log.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace verbenalever {

namespace {

/// Wait before the stored definitions are read again after a failure.
constexpr milliseconds retry_wait{200};

} // namespace

std::string coordinator::definitions_key() const
{
    return this->env.prefix + "q/definitions";
}

void coordinator::load_definitions()
{
    if (this->last_load_progress.count() == 0)
        this->last_load_progress = boot_time();
    this->env.store.read(this->definitions_key(), [this, alive = this->alive](auto stored) {
        if (!*alive)
            return;
        if (!stored.ok()) {
            this->env.log.write("coordinator", "load_retried",
                                {{"prefix", this->definitions_key()},
                                 {"reason", std::string(stored.status().message())}});
            this->load_retry_timer =
                std::make_unique<timer>(this->env.loop, [this] { this->load_definitions(); });
            this->load_retry_timer->start_once(retry_wait);
            return;
        }
        if (*stored) {
            this->stored_definitions = (*stored)->value;
            if (const auto status = this->definitions.restore(this->stored_definitions);
                !status.ok())
                this->env.log.write(
                    "coordinator", "definitions_unreadable",
                    {{"key", this->definitions_key()}, {"bytes", this->stored_definitions.size()}});
        }
        this->last_load_progress = boot_time();
        this->load_page(this->record_prefix(), {});
    });
}

void coordinator::store_definitions()
{
    auto text = this->definitions.encode();
    if (text == this->stored_definitions)
        return;
    this->stored_definitions = text;
    // Urgent, so that it is written before the records of workflows that are accepted from now on.
    this->chain.put(this->definitions_key(), [text = std::move(text)] { return text; }, true, {});
}

void coordinator::forget_unused_definitions()
{
    std::set<const queue_definition*> queues;
    std::set<std::string_view> teams;
    for (const auto& [id, known] : this->workflows) {
        queues.insert(known->definition);
        teams.insert(known->record.team);
    }
    this->definitions.forget_removed(
        [&queues](const queue_definition& queue) { return queues.contains(&queue); },
        [&teams](const team_definition& team) { return teams.contains(team.name); });
    this->store_definitions();
}

void coordinator::follow_moved_queues()
{
    std::set<std::string> moved;
    for (auto& [id, owner] : this->workflows) {
        if (is_final(owner->state) || owner->pool == owner->definition->pool)
            continue;
        moved.insert(owner->record.queue);
        this->replace_waiting_work(*owner, {});
        owner->pool = owner->definition->pool;
        for (auto& step : owner->steps)
            step.asked_all_targets = false;
        this->update_waiting_work(*owner);
    }
    for (const auto& queue : moved)
        this->env.log.write("coordinator", "queue_moved",
                            {{"queue", queue}, {"pool", this->definitions.queue(queue)->pool}});
}

bool coordinator::has_used_attempts(const workflow& owner, std::uint32_t step_index,
                                    std::uint32_t index)
{
    // Failures of any member of a gang are counted at its first task.
    const bool gang = owner.record.spec.steps[step_index].gang;
    const auto& task = owner.steps[step_index].tasks[gang ? 0 : index];
    return task.failed_runs.size() >=
           static_cast<std::size_t>(std::max(1, owner.definition->attempts));
}

bool coordinator::has_exhausted_task(const workflow& owner, std::uint32_t step_index)
{
    const auto& step = owner.steps[step_index];
    if (!step.failures_seen)
        return false;
    for (std::uint32_t index = 0; index < step.tasks.size(); ++index) {
        if (step.tasks[index].current_phase == workflow_task::phase::waiting &&
            has_used_attempts(owner, step_index, index))
            return true;
    }
    return false;
}

void coordinator::fail_exhausted_workflows()
{
    for (const auto& id : std::exchange(this->exhausted_workflows, {})) {
        auto* owner = this->find_workflow(id);
        if (owner == nullptr || is_final(owner->state))
            continue;
        this->env.log.write("coordinator", "attempts_exhausted",
                            {{"workflow", id},
                             {"queue", owner->record.queue},
                             {"attempts", owner->definition->attempts}});
        this->fail_workflow(*owner,
                            fmt::format("a task has used the {} attempts that its queue allows now",
                                        owner->definition->attempts));
    }
}

} // namespace verbenalever
