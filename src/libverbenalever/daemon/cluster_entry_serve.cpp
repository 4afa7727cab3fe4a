// The calls that other entry daemons make to this one.

#include "daemon/cluster_entry.h"

#include "coordination/member_messages.h"
#include "membership/message_codec.h"
#include "ports/operator_source.h"
#include "ports/placement_advisor.h"

namespace verbenalever {

namespace {

std::string pack_reply(call_outcome outcome, workflow_state state = workflow_state::queued,
                       std::int64_t count = 0, std::int64_t retry_after_s = 0)
{
    return pack_message(member_reply{.coordinating = true,
                                     .outcome = static_cast<int>(outcome),
                                     .state = static_cast<int>(state),
                                     .count = count,
                                     .retry_after_s = retry_after_s});
}

} // namespace

void cluster_entry::serve(peer_topic topic, std::string_view payload, peer_channel::replier reply)
{
    if (topic == peer_topic::configuration) {
        this->external.operators.apply_snapshot(payload);
        return;
    }
    if (this->relay.handle(topic, payload, reply))
        return;
    if (!reply)
        return;
    if (topic == peer_topic::advise) {
        this->serve_advise(payload, reply);
        return;
    }
    if (!this->active_coordinator) {
        reply(pack_message(member_reply{}));
        return;
    }
    if (topic == peer_topic::submit)
        this->serve_submit(payload, reply);
    else if (topic == peer_topic::status)
        this->serve_status(payload, reply);
    else if (topic == peer_topic::cancel)
        this->serve_cancel(payload, reply);
    else if (topic == peer_topic::queue_length)
        reply(this->active_coordinator->is_loaded()
                  ? pack_reply(call_outcome::accepted, workflow_state::queued,
                               this->active_coordinator->count_waiting(payload))
                  : pack_reply(call_outcome::refused));
}

void cluster_entry::serve_submit(std::string_view payload, const peer_channel::replier& reply)
{
    auto submission = unpack_message<workflow_submission>(payload);
    if (!submission.ok()) {
        reply(pack_reply(call_outcome::invalid));
        return;
    }
    this->active_coordinator->submit(
        *std::move(submission), [reply](call_outcome outcome, std::int64_t retry_after_s) {
            reply(pack_reply(outcome, workflow_state::queued, 0, retry_after_s));
        });
}

void cluster_entry::serve_status(std::string_view payload, const peer_channel::replier& reply)
{
    this->active_coordinator->status(
        std::string(payload),
        [reply](call_outcome outcome, workflow_state state) { reply(pack_reply(outcome, state)); });
}

void cluster_entry::serve_cancel(std::string_view payload, const peer_channel::replier& reply)
{
    this->active_coordinator->cancel(std::string(payload),
                                     [reply](call_outcome outcome) { reply(pack_reply(outcome)); });
}

void cluster_entry::serve_advise(std::string_view payload, const peer_channel::replier& reply)
{
    auto question = unpack_message<advice_question>(payload);
    if (!question.ok()) {
        reply(pack_message(advice_answer{}));
        return;
    }
    constexpr milliseconds max_advice_time{5000}; // the coordinator waits no longer
    this->external.advisor.ask(*question, max_advice_time, [reply](const advice_answer& answer) {
        reply(pack_message(answer));
    });
}

} // namespace verbenalever
