// Workflow records: creates them, stores them and deletes them; pending replies to callers.

#include "coordination/commit_chain.h"
#include "coordinator/coordinator.h"
#include "coordinator/target_session.h"
#include "membership/message_codec.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"

#include <algorithm>
#include <utility>

namespace verbenalever {

std::uint64_t coordinator::register_reply(submit_callback reply)
{
    this->pending_replies.emplace(++this->last_reply_id, std::move(reply));
    return this->last_reply_id;
}

void coordinator::send_reply(std::uint64_t number, call_outcome outcome, std::int64_t retry_after_s)
{
    const auto found = this->pending_replies.find(number);
    if (found == this->pending_replies.end())
        return;
    const auto reply = std::move(found->second);
    this->pending_replies.erase(found);
    reply(outcome, retry_after_s);
}

workflow* coordinator::find_workflow(const std::string& id)
{
    const auto found = this->workflows.find(id);
    return found == this->workflows.end() ? nullptr : found->second.get();
}

std::string coordinator::record_prefix() const
{
    return this->env.prefix + "w/";
}

std::string coordinator::placement_prefix() const
{
    return this->env.prefix + "p/";
}

std::string coordinator::progress_prefix() const
{
    return this->env.prefix + "e/";
}

std::vector<std::int64_t> coordinator::remaining_times(const workflow_spec& spec,
                                                       const run_length_model& run_lengths)
{
    std::vector<std::int64_t> remaining(spec.steps.size(), 0);
    for (std::size_t number = spec.steps.size(); number-- > 0;) {
        remaining[number] +=
            run_lengths.predict(milliseconds(spec.steps[number].estimated_ms)).count();
        for (const auto earlier : spec.steps[number].after)
            remaining[earlier] = std::max(remaining[earlier], remaining[number]);
    }
    return remaining;
}

milliseconds coordinator::objective_of(const queue_definition& queue, milliseconds longest_chain)
{
    return queue.latency_objective +
           milliseconds(static_cast<std::int64_t>(queue.stretch *
                                                  static_cast<double>(longest_chain.count())));
}

workflow& coordinator::add_workflow(workflow_record record)
{
    auto added = std::make_unique<workflow>();
    added->record = std::move(record);
    added->state = added->record.stored_state();
    added->definition =
        is_final(added->state)
            ? this->definitions.queue(added->record.queue)
            : &this->definitions.queue_or_assumed(added->record.queue, added->record.pool);
    if (added->definition != nullptr)
        added->pool = added->definition->pool;
    const auto remaining =
        remaining_times(added->record.spec, this->run_length_models[added->record.queue]);
    std::int64_t longest = 0;
    for (std::size_t number = 0; number < remaining.size(); ++number) {
        auto& added_step = added->steps.emplace_back();
        added_step.tasks.resize(added->record.spec.steps[number].count);
        added_step.waiting_count = added->record.spec.steps[number].count;
        added_step.time_to_workflow_end = milliseconds(remaining[number]);
        longest = std::max(longest, remaining[number]);
    }
    if (added->definition != nullptr) {
        added->priority = added->definition->priority;
        added->objective = objective_of(*added->definition, milliseconds(longest));
    }
    const auto age = wall_microseconds() / 1000 - added->record.accepted_ms;
    added->accepted_at = boot_time() - milliseconds(age);
    added->due_at = added->accepted_at + added->objective;
    // The runs of this term are numbered above all that earlier terms can have used.
    constexpr std::int64_t runs_per_revision = 16;
    added->run_number_base = (this->term - added->record.term) * runs_per_revision;
    auto& placed = this->workflows[added->record.id];
    placed = std::move(added);
    return *placed;
}

void coordinator::store_record(workflow& owner, std::function<void()> done)
{
    this->records.store(owner.record.id, [this, id = owner.record.id, done = std::move(done)] {
        if (auto* stored_workflow = this->find_workflow(id)) {
            stored_workflow->record_stored = true;
            this->send_start_orders(std::exchange(stored_workflow->starts_after_record_stored, {}));
            const auto waiters = std::move(stored_workflow->replies_after_record_stored);
            stored_workflow->replies_after_record_stored.clear();
            for (const auto number : waiters)
                this->send_reply(number, call_outcome::accepted);
        }
        done();
    });
}

workflow& coordinator::remember_cancel(const std::string& id)
{
    const auto now = wall_microseconds() / 1000;
    auto& added = this->add_workflow({.id = id,
                                      .accepted_ms = now,
                                      .term = this->term,
                                      .state = static_cast<int>(workflow_state::cancelled),
                                      .ended_ms = now});
    ++this->remembered_cancels;
    this->env.metrics.add("cancels_before_submission");
    this->env.log.write("coordinator", "cancel_remembered", {{"workflow", id}});
    this->store_record(added, [this, id] { this->handle_end_stored(id); });
    return added;
}

void coordinator::accept_cancelled(workflow& owner, workflow_submission submission,
                                   const queue_definition& queue, std::uint64_t reply_id)
{
    this->env.log.write("coordinator", "submission_after_cancel",
                        {{"workflow", owner.record.id}, {"queue", submission.queue}});
    owner.record.queue = std::move(submission.queue);
    owner.record.pool = queue.pool;
    owner.definition = this->definitions.queue(queue.name);
    owner.record.team = std::move(submission.team);
    owner.record_stored = false;
    owner.replies_after_record_stored.push_back(reply_id);
    --this->remembered_cancels;
    this->store_record(owner, [] {});
}

void coordinator::refuse_unsent_submissions()
{
    if (!this->chain.stalled())
        return;
    std::vector<std::string> refused;
    for (const auto& [id, candidate] : this->workflows) {
        if (!candidate->record_stored && !candidate->replies_after_record_stored.empty() &&
            this->records.withdraw(id))
            refused.push_back(id);
    }
    if (!refused.empty())
        this->env.log.write("coordinator", "submissions_refused",
                            {{"reason", "store_away"}, {"count", refused.size()}});
    for (const auto& id : refused) {
        auto& candidate = *this->find_workflow(id);
        const auto waiters = candidate.replies_after_record_stored;
        const auto cancels = candidate.replies_after_end_stored;
        // Its tasks may have been placed, but no start is sent before the record is stored.
        this->stop_workflow(candidate);
        for (auto& step : candidate.steps)
            this->release_reservation(step);
        for (std::uint32_t step = 0; step < candidate.steps.size(); ++step)
            this->remove_from_ready(candidate, step);
        const auto retry_after_s = this->retry_after_stall(candidate.pool, candidate.priority);
        this->replace_waiting_work(candidate, {});
        this->workflows.erase(id);
        for (const auto number : waiters)
            this->send_reply(number, call_outcome::refused, retry_after_s);
        // Whether another attempt of the submission was accepted elsewhere is not known here.
        for (const auto number : cancels)
            this->send_reply(number, call_outcome::unknown);
    }
}

void coordinator::delete_ended_workflows()
{
    if (this->loaded)
        this->forget_unused_definitions();
    const auto limit = wall_microseconds() / 1000 - this->env.ended_retention.count();
    std::vector<std::string> expired;
    for (const auto& [id, candidate] : this->workflows) {
        if (candidate->end_stored && candidate->placed_count == 0 &&
            candidate->record.ended_ms < limit)
            expired.push_back(id);
    }
    for (const auto& id : expired) {
        if (!this->records.try_remove(id))
            continue;
        if (const auto found = this->workflows.find(id); found != this->workflows.end()) {
            this->remembered_cancels -= found->second->record.submitted() ? 0 : 1;
            this->workflows.erase(found);
        }
    }
}

} // namespace verbenalever
