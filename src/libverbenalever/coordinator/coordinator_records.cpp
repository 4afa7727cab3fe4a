// Records of workflows: made, kept in the store, removed.

#include "coordination/commit_chain.h"
#include "coordinator/coordinator.h"
#include "coordinator/target_session.h"
#include "membership/message_codec.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"

#include <algorithm>
#include <utility>

namespace verbenalever {

namespace {

/// @return for each step the time from its start to the end of all that waits for it
std::vector<std::int64_t> tails_of(const workflow_spec& spec, const run_length_model& lengths)
{
    std::vector<std::int64_t> tails(spec.steps.size(), 0);
    for (std::size_t number = spec.steps.size(); number-- > 0;) {
        tails[number] += lengths.predict(milliseconds(spec.steps[number].estimated_ms)).count();
        for (const auto earlier : spec.steps[number].after)
            tails[earlier] = std::max(tails[earlier], tails[number]);
    }
    return tails;
}

} // namespace

std::uint64_t coordinator::open_reply(std::function<void(call_outcome)> reply)
{
    this->pending_replies.emplace(++this->last_reply_id, std::move(reply));
    return this->last_reply_id;
}

void coordinator::close_reply(std::uint64_t number, call_outcome outcome)
{
    const auto found = this->pending_replies.find(number);
    if (found == this->pending_replies.end())
        return;
    const auto reply = std::move(found->second);
    this->pending_replies.erase(found);
    reply(outcome);
}

workflow* coordinator::find(const std::string& id)
{
    const auto found = this->workflows.find(id);
    return found == this->workflows.end() ? nullptr : found->second.get();
}

std::string coordinator::record_key(const std::string& id) const
{
    return this->env.prefix + "w/" + id;
}

std::string coordinator::placement_key(const std::string& id) const
{
    return this->env.prefix + "p/" + id;
}

std::string coordinator::progress_key(const std::string& id) const
{
    return this->env.prefix + "e/" + id;
}

workflow& coordinator::add_workflow(workflow_record record)
{
    auto added = std::make_unique<workflow>();
    added->record = std::move(record);
    added->state = added->record.end_state();
    const auto tails = tails_of(added->record.spec, this->run_length_models[added->record.queue]);
    std::int64_t longest = 0;
    for (std::size_t number = 0; number < tails.size(); ++number) {
        auto& run = added->steps.emplace_back();
        run.tasks.resize(added->record.spec.steps[number].count);
        run.waiting_count = added->record.spec.steps[number].count;
        run.time_to_workflow_end = milliseconds(tails[number]);
        longest = std::max(longest, tails[number]);
    }
    if (const auto* queue = this->configuration->queue(added->record.queue)) {
        added->priority = queue->priority;
        added->objective =
            queue->latency_objective +
            milliseconds(static_cast<std::int64_t>(queue->stretch * static_cast<double>(longest)));
    }
    const auto age = wall_microseconds() / 1000 - added->record.accepted_ms;
    added->accepted_at = boot_time() - milliseconds(age);
    added->due_at = added->accepted_at + added->objective;
    // Runs of later terms are numbered above all that earlier terms can have used.
    constexpr std::int64_t runs_per_revision = 16;
    added->run_number_base = (this->term - added->record.term) * runs_per_revision;
    auto& placed = this->workflows[added->record.id];
    placed = std::move(added);
    return *placed;
}

void coordinator::store_record(workflow& owner, std::function<void()> done)
{
    const auto id = owner.record.id;
    this->chain.put(
        this->record_key(id),
        [this, alive = this->alive, id]() -> std::optional<std::string> {
            const auto* kept = *alive ? this->find(id) : nullptr;
            if (kept == nullptr)
                return std::nullopt;
            return pack_message(kept->record);
        },
        true,
        [this, alive = this->alive, id, done = std::move(done)] {
            if (!*alive)
                return;
            if (auto* kept = this->find(id)) {
                kept->record_stored = true;
                this->send_start_orders(std::exchange(kept->starts_after_record_stored, {}));
                const auto waiters = std::move(kept->replies_after_record_stored);
                kept->replies_after_record_stored.clear();
                for (const auto number : waiters)
                    this->close_reply(number, call_outcome::accepted);
            }
            done();
        });
}

void coordinator::refuse_unsent()
{
    if (!this->chain.stalled())
        return;
    std::vector<std::string> refused;
    for (const auto& [id, known] : this->workflows) {
        if (!known->record_stored && !known->replies_after_record_stored.empty() &&
            this->chain.withdraw(this->record_key(id)))
            refused.push_back(id);
    }
    if (!refused.empty())
        this->env.log.write("coordinator", "submissions_refused",
                            {{"reason", "store_away"}, {"count", refused.size()}});
    for (const auto& id : refused) {
        auto& known = *this->find(id);
        const auto waiters = known.replies_after_record_stored;
        // Its tasks were at most chosen a place: no start is sent before the record is kept.
        this->stop_all(known);
        for (auto& step : known.steps)
            this->release_reservation(step);
        for (std::uint32_t step = 0; step < known.steps.size(); ++step)
            this->remove_from_ready(known, step);
        this->workflows.erase(id);
        for (const auto number : waiters)
            this->close_reply(number, call_outcome::refused);
    }
}

void coordinator::forget_ended()
{
    const auto limit = wall_microseconds() / 1000 - this->env.ended_retention.count();
    std::vector<std::string> old;
    for (const auto& [id, known] : this->workflows) {
        if (known->end_stored && known->placed_count == 0 && known->record.ended_ms < limit)
            old.push_back(id);
    }
    for (const auto& id : old) {
        this->workflows.erase(id);
        this->chain.put(this->record_key(id), [] { return std::nullopt; }, false, {});
    }
}

} // namespace verbenalever
