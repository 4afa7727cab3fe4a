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

coordinator::coordinator(environment surroundings, leadership& office, commit_chain& chain,
                         std::int64_t term,
                         std::shared_ptr<const fleet_configuration> configuration)
    : around(std::move(surroundings)), office(office), chain(chain), term(term),
      configuration(std::move(configuration)),
      placements(chain, this->placement_key({}), term,
                 [this](const std::vector<placement_entry>& kept) { this->send_starts(kept); }),
      progress(chain, this->progress_key({}), term),
      pass_timer(this->around.loop, [this] { this->pass(); }),
      check_timer(this->around.loop, [this] { this->check_targets(); }),
      forget_timer(this->around.loop, [this] { this->delete_ended_workflows(); }),
      load_timer(this->around.loop, [this] { this->log_load(); })
{
}

coordinator::~coordinator()
{
    *this->alive = false;
    this->around.directory.stop();
    const auto open = std::move(this->open_replies);
    for (const auto& [number, reply] : open)
        reply(call_outcome::unknown);
}

void coordinator::begin()
{
    this->began_at = boot_time();
    this->around.directory.start(
        [this](const std::vector<target_report>& reports) { this->apply_directory(reports); });
    this->load_page(this->record_key({}), {});
    this->check_timer.start_repeating(check_interval);
    this->forget_timer.start_repeating(forget_interval);
    this->load_timer.start_repeating(load_interval);
}

void coordinator::configure(std::shared_ptr<const fleet_configuration> configuration)
{
    this->configuration = std::move(configuration);
    this->surveyed_at = milliseconds(0); // zones may have been taken out
    this->request_pass();
}

void coordinator::submit(workflow_submission submission, std::function<void(call_outcome)> reply)
{
    const auto number = this->register_reply(std::move(reply));
    if (!this->loaded) {
        this->after_load.push_back([this, submission = std::move(submission), number]() mutable {
            this->submit(std::move(submission), [this, number](call_outcome outcome) {
                this->send_reply(number, outcome);
            });
        });
        return;
    }
    if (auto* known = this->find_workflow(submission.id)) {
        if (known->stored)
            this->send_reply(number, call_outcome::accepted);
        else
            known->stored_waiters.push_back(number);
        return;
    }
    const auto* queue = this->configuration->queue(submission.queue);
    if (queue == nullptr || this->overloaded()) {
        this->send_reply(number, call_outcome::refused);
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
    added.stored_waiters.push_back(number);
    this->store_record(added, [this, id = added.record.id] {
        if (auto* kept = this->find_workflow(id)) {
            kept->stored = true;
            this->request_pass(milliseconds(0));
        }
    });
    this->list_ready(added);
    this->request_pass(milliseconds(0));
    this->around.count.add("workflows_received");
}

bool coordinator::overloaded()
{
    if (this->chain.stalled())
        return true;
    if (this->chain.expected_wait() <= longest_record_wait)
        return false;
    this->around.count.add("submissions_refused_backlog");
    return true;
}

void coordinator::status(const std::string& id,
                         std::function<void(call_outcome, workflow_state)> reply)
{
    if (!this->loaded) {
        const auto number = this->register_reply(
            [reply](call_outcome outcome) { reply(outcome, workflow_state::queued); });
        this->after_load.push_back([this, id, number, reply = std::move(reply)]() mutable {
            this->open_replies.erase(number);
            this->status(id, std::move(reply));
        });
        return;
    }
    const auto* known = this->find_workflow(id);
    if (known == nullptr) {
        // Without word from the store another may coordinate by now, and have accepted it.
        reply(this->office.certain() ? call_outcome::not_found : call_outcome::refused,
              workflow_state::queued);
        return;
    }
    // An end is shown only when it can no longer be lost.
    const bool end_hidden = is_final(known->state) && !known->end_stored;
    const bool runs = known->state == workflow_state::queued && known->began;
    reply(call_outcome::accepted, end_hidden || runs ? workflow_state::running : known->state);
}

void coordinator::cancel(const std::string& id, std::function<void(call_outcome)> reply)
{
    const auto number = this->register_reply(std::move(reply));
    if (!this->loaded) {
        this->after_load.push_back([this, id, number] {
            this->cancel(
                id, [this, number](call_outcome outcome) { this->send_reply(number, outcome); });
        });
        return;
    }
    auto* known = this->find_workflow(id);
    if (known == nullptr) {
        this->send_reply(number, call_outcome::not_found);
        return;
    }
    if (known->end_stored) {
        this->send_reply(number, call_outcome::accepted);
        return;
    }
    if (!is_final(known->state)) {
        this->around.log.write("coordinator", "workflow_cancelled",
                               {{"workflow", id}, {"placed", known->placed}});
        this->end_workflow(*known, workflow_state::cancelled);
    }
    known->end_waiters.push_back(number);
}

std::int64_t coordinator::waiting_in(std::string_view queue) const
{
    std::int64_t waiting = 0;
    for (const auto& [id, known] : this->workflows) {
        if (known->stored && !known->began && known->state == workflow_state::queued &&
            known->record.queue == queue)
            ++waiting;
    }
    return waiting;
}

} // namespace verbenalever
