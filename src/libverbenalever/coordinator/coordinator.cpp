#include "coordinator/coordinator.h"

#include "coordination/commit_chain.h"
#include "coordination/leadership.h"
#include "coordinator/target_session.h"
#include "ports/target_directory.h"
#include "scheduling/usage_history.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"

namespace verbenalever {

namespace {

/// Interval of check_targets(), which resends unanswered orders and detects expired leases.
constexpr milliseconds check_interval{200};
/// A submission whose record would wait longer than this to be stored is refused: its caller waits
/// three seconds, which must cover the way to this process and back too.
constexpr milliseconds max_record_wait{1500};
/// Bounds the memory that callers can use by cancelling workflows that do not exist.
constexpr std::size_t max_remembered_cancels = 10'000;
/// How often ended workflows are removed whose retention time is over.
constexpr milliseconds cleanup_interval{10'000};
/// How often the load is logged, for finding the cause of long waits.
constexpr milliseconds load_log_interval{5000};

} // namespace

coordinator::coordinator(environment env, leadership& election, commit_chain& chain,
                         std::int64_t term,
                         std::shared_ptr<const fleet_configuration> configuration)
    : env(std::move(env)), election(election), chain(chain), term(term),
      configuration(std::move(configuration)), economy(this->env.advisor_questions),
      records(chain, this->record_prefix(), term,
              [this](const std::string& id) -> const workflow_record* {
                  const auto* known = this->find_workflow(id);
                  return known == nullptr ? nullptr : &known->record;
              }),
      placements(chain, this->placement_prefix(), term,
                 [this](const std::vector<placement_entry>& stored_workflow) {
                     this->send_start_orders(stored_workflow);
                 }),
      progress(chain, this->progress_prefix(), term),
      past_use(this->env.usage_half_life > milliseconds(0)
                   ? std::make_unique<usage_history>(this->env.usage_half_life)
                   : nullptr),
      scheduling_timer(this->env.loop, [this] { this->run_scheduling_pass(); }),
      check_timer(this->env.loop, [this] { this->check_targets(); }),
      cleanup_timer(this->env.loop, [this] { this->delete_ended_workflows(); }),
      load_log_timer(this->env.loop, [this] { this->log_load(); })
{
    this->definitions.apply(*this->configuration);
}

coordinator::~coordinator()
{
    *this->alive = false;
    this->env.directory.stop();
    const auto unanswered = std::move(this->pending_replies);
    for (const auto& [reply_id, reply] : unanswered)
        reply(call_outcome::unknown, 0);
}

void coordinator::start()
{
    this->started_at = boot_time();
    this->env.directory.start(
        [this](const std::vector<target_report>& reports) { this->apply_directory(reports); });
    // Without a configuration the queues, limits and zones of what is loaded are not known.
    if (this->configuration->version != 0)
        this->load_definitions();
    this->check_timer.start_repeating(check_interval);
    this->cleanup_timer.start_repeating(cleanup_interval);
    this->load_log_timer.start_repeating(load_log_interval);
}

void coordinator::apply_configuration(std::shared_ptr<const fleet_configuration> configuration)
{
    const bool first = this->configuration->version == 0 && configuration->version != 0;
    this->configuration = std::move(configuration);
    this->definitions.apply(*this->configuration);
    this->follow_moved_queues();
    if (this->loaded)
        this->store_definitions();
    if (first)
        this->load_definitions();
    this->request_scheduling_pass();
}

void coordinator::submit(workflow_submission submission, submit_callback reply)
{
    const auto reply_id = this->register_reply(std::move(reply));
    if (!this->loaded) {
        this->deferred_calls.push_back(
            [this, submission = std::move(submission), reply_id]() mutable {
                this->submit(std::move(submission),
                             [this, reply_id](call_outcome outcome, std::int64_t retry_after_s) {
                                 this->send_reply(reply_id, outcome, retry_after_s);
                             });
            });
        return;
    }
    auto* existing = this->find_workflow(submission.id);
    if (existing != nullptr && existing->record.submitted()) {
        if (existing->record_stored)
            this->send_reply(reply_id, call_outcome::accepted);
        else
            existing->replies_after_record_stored.push_back(reply_id);
        return;
    }
    const auto* queue = this->configuration->queue(submission.queue);
    if (queue == nullptr) {
        this->send_reply(reply_id, call_outcome::refused);
        return;
    }
    if (this->overloaded()) {
        this->send_reply(reply_id, call_outcome::refused,
                         this->retry_after_stall(queue->pool, queue->priority));
        return;
    }
    if (existing != nullptr) {
        this->accept_cancelled(*existing, std::move(submission), *queue, reply_id);
        return;
    }
    if (this->refuse_by_forecast(submission, *queue, reply_id))
        return;
    workflow_record record{.id = std::move(submission.id),
                           .queue = std::move(submission.queue),
                           .pool = queue->pool,
                           .team = std::move(submission.team),
                           .accepted_ms = wall_microseconds() / 1000,
                           .term = this->term,
                           .spec = std::move(submission.spec)};
    auto& added = this->add_workflow(std::move(record));
    added.replies_after_record_stored.push_back(reply_id);
    this->store_record(added, [this, id = added.record.id] {
        if (auto* stored_workflow = this->find_workflow(id)) {
            stored_workflow->record_stored = true;
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
    if (this->chain.expected_commit_delay() <= max_record_wait)
        return false;
    this->env.metrics.add("submissions_refused_backlog");
    return true;
}

void coordinator::status(const std::string& id,
                         std::function<void(call_outcome, workflow_state)> reply)
{
    if (!this->loaded) {
        const auto reply_id = this->register_reply([reply](call_outcome outcome, std::int64_t) {
            reply(outcome, workflow_state::queued);
        });
        this->deferred_calls.push_back([this, id, reply_id, reply = std::move(reply)]() mutable {
            this->pending_replies.erase(reply_id);
            this->status(id, std::move(reply));
        });
        return;
    }
    const auto* existing = this->find_workflow(id);
    if (existing == nullptr || !existing->record.submitted()) {
        // While the store has not confirmed this term, a newer coordinator may have accepted it.
        reply(this->election.is_lease_valid() ? call_outcome::not_found : call_outcome::refused,
              workflow_state::queued);
        return;
    }
    // An end is reported only once it is stored: before that a failover would lose it.
    const bool open = !is_final(existing->state) || !existing->end_stored;
    // Callers that were told that it runs must not see it return to `queued` after a hand-over.
    const auto open_state = existing->has_started || existing->may_have_started
                                ? workflow_state::running
                                : workflow_state::queued;
    reply(call_outcome::accepted, open ? open_state : existing->state);
}

void coordinator::cancel(const std::string& id, std::function<void(call_outcome)> reply)
{
    const auto reply_id = this->register_reply(
        [reply = std::move(reply)](call_outcome outcome, std::int64_t) { reply(outcome); });
    if (!this->loaded) {
        this->deferred_calls.push_back([this, id, reply_id] {
            this->cancel(id, [this, reply_id](call_outcome outcome) {
                this->send_reply(reply_id, outcome);
            });
        });
        return;
    }
    auto* existing = this->find_workflow(id);
    if (existing == nullptr) {
        // Its submission may be on its way, or another coordinator may have accepted it: only a
        // write to the store shows that this process still coordinates.
        if (this->remembered_cancels >= max_remembered_cancels) {
            this->env.metrics.add("cancels_refused");
            this->send_reply(reply_id, call_outcome::refused);
            return;
        }
        existing = &this->remember_cancel(id);
    }
    if (existing->end_stored) {
        this->send_reply(reply_id, existing->record.submitted() ? call_outcome::accepted
                                                                : call_outcome::not_found);
        return;
    }
    if (!is_final(existing->state)) {
        this->env.log.write("coordinator", "workflow_cancelled",
                            {{"workflow", id}, {"placed", existing->placed_count}});
        this->end_workflow(*existing, workflow_state::cancelled);
    }
    existing->replies_after_end_stored.push_back(reply_id);
}

std::int64_t coordinator::count_waiting(std::string_view queue) const
{
    std::int64_t waiting = 0;
    for (const auto& [id, existing] : this->workflows) {
        if (existing->record_stored && !existing->has_started &&
            existing->state == workflow_state::queued && existing->record.queue == queue)
            ++waiting;
    }
    return waiting;
}

} // namespace verbenalever
