#include "coordinator/coordinator.h"

#include "coordination/commit_chain.h"
#include "coordination/leadership.h"
#include "coordinator/target_session.h"
#include "ports/target_directory.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"

namespace verbenalever {

namespace {

/// How often orders without an answer, leases that have lapsed and the like are looked at.
constexpr milliseconds check_interval{200};
/// A submission that would wait longer for its record to be kept is refused: its caller's patience
/// of three seconds must cover the way here and back too.
constexpr milliseconds longest_record_wait{1500};
/// How often ended workflows whose time is over are removed.
constexpr milliseconds forget_interval{10'000};
/// How often the load is written to the log, for whoever looks for the cause of long waits.
constexpr milliseconds load_interval{5000};

} // namespace

coordinator::coordinator(environment env, leadership& election, commit_chain& chain,
                         std::int64_t term,
                         std::shared_ptr<const fleet_configuration> configuration)
    : env(std::move(env)), election(election), chain(chain), term(term),
      configuration(std::move(configuration)),
      placements(
          chain, this->placement_key({}), term,
          [this](const std::vector<placement_entry>& kept) { this->send_start_orders(kept); }),
      progress(chain, this->progress_key({}), term),
      scheduling_timer(this->env.loop, [this] { this->run_scheduling_pass(); }),
      check_timer(this->env.loop, [this] { this->check_targets(); }),
      cleanup_timer(this->env.loop, [this] { this->forget_ended(); }),
      load_log_timer(this->env.loop, [this] { this->log_load(); })
{
}

coordinator::~coordinator()
{
    *this->alive = false;
    this->env.directory.stop();
    const auto open = std::move(this->pending_replies);
    for (const auto& [number, reply] : open)
        reply(call_outcome::unknown);
}

void coordinator::start()
{
    this->started_at = boot_time();
    this->env.directory.start(
        [this](const std::vector<target_report>& reports) { this->take_directory(reports); });
    this->load_page(this->record_key({}), {});
    this->check_timer.start_repeating(check_interval);
    this->cleanup_timer.start_repeating(forget_interval);
    this->load_log_timer.start_repeating(load_interval);
}

void coordinator::apply_configuration(std::shared_ptr<const fleet_configuration> configuration)
{
    this->configuration = std::move(configuration);
    this->free_targets_refreshed_at = milliseconds(0); // zones may have been taken out
    this->request_scheduling_pass();
}

void coordinator::submit(workflow_submission submission, std::function<void(call_outcome)> reply)
{
    const auto number = this->open_reply(std::move(reply));
    if (!this->loaded) {
        this->deferred_calls.push_back(
            [this, submission = std::move(submission), number]() mutable {
                this->submit(std::move(submission), [this, number](call_outcome outcome) {
                    this->close_reply(number, outcome);
                });
            });
        return;
    }
    if (auto* known = this->find(submission.id)) {
        if (known->record_stored)
            this->close_reply(number, call_outcome::accepted);
        else
            known->replies_after_record_stored.push_back(number);
        return;
    }
    const auto* queue = this->configuration->queue(submission.queue);
    if (queue == nullptr || this->overloaded()) {
        this->close_reply(number, call_outcome::refused);
        return;
    }
    workflow_record record{.id = std::move(submission.id),
                           .queue = std::move(submission.queue),
                           .pool = queue->pool,
                           .team = std::move(submission.team),
                           .accepted_ms = wall_microseconds() / 1000,
                           .term = this->term,
                           .spec = std::move(submission.spec)};
    auto& added = this->add_workflow(std::move(record));
    added.replies_after_record_stored.push_back(number);
    this->store_record(added, [this, id = added.record.id] {
        if (auto* kept = this->find(id)) {
            kept->record_stored = true;
            this->request_scheduling_pass(milliseconds(0));
        }
    });
    this->add_ready_steps(added);
    this->request_scheduling_pass(milliseconds(0));
    this->env.metrics.add("workflows_received");
}

bool coordinator::overloaded()
{
    if (this->chain.stalled())
        return true;
    if (this->chain.expected_wait() <= longest_record_wait)
        return false;
    this->env.metrics.add("submissions_refused_backlog");
    return true;
}

void coordinator::status(const std::string& id,
                         std::function<void(call_outcome, workflow_state)> reply)
{
    if (!this->loaded) {
        const auto number = this->open_reply(
            [reply](call_outcome outcome) { reply(outcome, workflow_state::queued); });
        this->deferred_calls.push_back([this, id, number, reply = std::move(reply)]() mutable {
            this->pending_replies.erase(number);
            this->status(id, std::move(reply));
        });
        return;
    }
    const auto* known = this->find(id);
    if (known == nullptr) {
        // Without word from the store another may coordinate by now, and have accepted it.
        reply(this->election.certain() ? call_outcome::not_found : call_outcome::refused,
              workflow_state::queued);
        return;
    }
    // An end is shown only when it can no longer be lost.
    const bool end_hidden = is_final(known->state) && !known->end_stored;
    const bool runs = known->state == workflow_state::queued && known->has_started;
    reply(call_outcome::accepted, end_hidden || runs ? workflow_state::running : known->state);
}

void coordinator::cancel(const std::string& id, std::function<void(call_outcome)> reply)
{
    const auto number = this->open_reply(std::move(reply));
    if (!this->loaded) {
        this->deferred_calls.push_back([this, id, number] {
            this->cancel(
                id, [this, number](call_outcome outcome) { this->close_reply(number, outcome); });
        });
        return;
    }
    auto* known = this->find(id);
    if (known == nullptr) {
        this->close_reply(number, call_outcome::not_found);
        return;
    }
    if (known->end_stored) {
        this->close_reply(number, call_outcome::accepted);
        return;
    }
    if (!is_final(known->state)) {
        this->env.log.write("coordinator", "workflow_cancelled",
                            {{"workflow", id}, {"placed", known->placed_count}});
        this->end_workflow(*known, workflow_state::cancelled);
    }
    known->replies_after_end_stored.push_back(number);
}

std::int64_t coordinator::count_waiting(std::string_view queue) const
{
    std::int64_t waiting = 0;
    for (const auto& [id, known] : this->workflows) {
        if (known->record_stored && !known->has_started && known->state == workflow_state::queued &&
            known->record.queue == queue)
            ++waiting;
    }
    return waiting;
}

} // namespace verbenalever
