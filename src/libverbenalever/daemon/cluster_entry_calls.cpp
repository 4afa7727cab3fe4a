// The calls that callers make to this entry daemon: it checks them, forwards them to the
// coordinator and repeats them at the next coordinator when the outcome is unknown.

#include "daemon/cluster_entry.h"

#include "coordination/member_messages.h"
#include "membership/message_codec.h"

#include <algorithm>

namespace verbenalever {

namespace {

/// Interval at which calls without a reply are sent again.
constexpr milliseconds retry_interval{100};
/// Recommended delay before a retry when the coordinator names none.
constexpr std::int64_t min_retry_after_s = 1;

gateway_reply to_gateway_reply(const member_reply& from)
{
    gateway_reply reply{.state = static_cast<workflow_state>(from.state),
                        .waiting_count = from.count,
                        .from_coordinator = true,
                        .retry_after_s = std::max(min_retry_after_s, from.retry_after_s)};
    switch (static_cast<call_outcome>(from.outcome)) {
    case call_outcome::accepted:
        reply.how = gateway_reply::outcome::accepted;
        break;
    case call_outcome::refused:
        reply.how = gateway_reply::outcome::refused;
        break;
    case call_outcome::unknown:
        reply.how = gateway_reply::outcome::unknown;
        break;
    case call_outcome::not_found:
        reply.how = gateway_reply::outcome::no_workflow;
        break;
    case call_outcome::invalid:
        reply.how = gateway_reply::outcome::invalid;
        break;
    }
    return reply;
}

/// @return the coordinator's reply; without one "refused" if the call was not sent, else "unknown",
/// since it may have been carried out
gateway_reply decode_coordinator_reply(const absl::StatusOr<std::string>& payload)
{
    if (!payload.ok())
        return {.how = absl::IsFailedPrecondition(payload.status())
                           ? gateway_reply::outcome::refused
                           : gateway_reply::outcome::unknown};
    const auto reply = unpack_message<member_reply>(*payload);
    if (!reply.ok())
        return {.how = gateway_reply::outcome::unknown};
    if (!reply->coordinating)
        return {.how = gateway_reply::outcome::refused};
    return to_gateway_reply(*reply);
}

} // namespace

void cluster_entry::call_coordinator(peer_topic topic, std::string payload, milliseconds timeout,
                                     coordinator_reply_callback done)
{
    if (this->active_coordinator) {
        // Served like another member's call, so that both behave alike.
        auto once = std::make_shared<coordinator_reply_callback>(std::move(done));
        this->serve(topic, payload, [once](std::string reply) { (*once)(std::move(reply)); });
        return;
    }
    auto* channel = this->link.channel();
    if (channel == nullptr) {
        done(absl::FailedPreconditionError("no coordinator is connected"));
        return;
    }
    channel->call(topic, std::move(payload), timeout, std::move(done));
}

void cluster_entry::send_until_deadline(pending_call call)
{
    const auto remaining = call.deadline - boot_time();
    auto pending = std::make_shared<pending_call>(std::move(call));
    this->call_coordinator(pending->topic, pending->payload, remaining,
                           [this, pending](const auto& payload) {
                               auto reply = decode_coordinator_reply(payload);
                               // An earlier coordinator may have carried the call out, even if no
                               // coordinator is found now.
                               if (pending->sent_before && !reply.from_coordinator)
                                   reply.how = gateway_reply::outcome::unknown;
                               if (reply.how != gateway_reply::outcome::unknown ||
                                   boot_time() + retry_interval >= pending->deadline) {
                                   pending->done(reply);
                                   return;
                               }
                               pending->sent_before = true;
                               this->pending_calls.push_back(std::move(*pending));
                               if (!this->retry_timer.active())
                                   this->retry_timer.start_repeating(retry_interval);
                           });
}

void cluster_entry::retry_pending_calls()
{
    const bool coordinator_known = this->active_coordinator != nullptr || this->link.up();
    auto calls = std::move(this->pending_calls);
    this->pending_calls.clear();
    for (auto& call : calls) {
        if (boot_time() + retry_interval >= call.deadline)
            call.done({.how = gateway_reply::outcome::unknown});
        else if (coordinator_known)
            this->send_until_deadline(std::move(call));
        else
            this->pending_calls.push_back(std::move(call));
    }
    if (this->pending_calls.empty())
        this->retry_timer.stop();
}

cluster_entry::admission cluster_entry::admit(const caller_identity& caller) const
{
    admission result;
    if (!this->has_configuration()) {
        result.refusal.how = gateway_reply::outcome::refused;
        return result;
    }
    const auto* queue = this->find_queue(caller);
    if (queue == nullptr) {
        result.refusal.how = gateway_reply::outcome::no_queue;
        return result;
    }
    if (const auto* team = this->configuration->find_team_by_key(caller.key))
        result.team = team->name;
    else if (!queue->open) {
        result.refusal.how = gateway_reply::outcome::no_key;
        return result;
    }
    result.queue = queue;
    return result;
}

void cluster_entry::submit(const caller_identity& caller, std::string id, workflow_spec spec,
                           milliseconds timeout, callback done)
{
    const auto admission = this->admit(caller);
    if (admission.queue == nullptr) {
        done(admission.refusal);
        return;
    }
    if (!spec.validate().ok()) {
        done({.how = gateway_reply::outcome::invalid});
        return;
    }
    this->send_until_deadline(
        {peer_topic::submit,
         pack_message(workflow_submission{std::move(id), admission.queue->name, admission.team,
                                          std::move(spec)}),
         boot_time() + timeout,
         [this, priority = admission.queue->priority, done = std::move(done)](gateway_reply reply) {
             // The store may be away, so that no coordinator can be elected for some seconds.
             if (reply.how == gateway_reply::outcome::refused && !reply.from_coordinator)
                 reply.retry_after_s = admission_forecast::retry_after_stall(
                     priority, milliseconds(0),
                     std::uniform_real_distribution<>(0, 1)(this->retry_random));
             done(reply);
         }});
}

void cluster_entry::status(const caller_identity& caller, std::string id, milliseconds timeout,
                           callback done)
{
    const auto admission = this->admit(caller);
    if (admission.queue == nullptr) {
        done(admission.refusal);
        return;
    }
    this->call_coordinator(peer_topic::status, std::move(id), timeout,
                           [done = std::move(done)](const auto& payload) {
                               auto reply = decode_coordinator_reply(payload);
                               // A question has no effect, so that it can simply be asked again.
                               if (reply.how == gateway_reply::outcome::unknown)
                                   reply.how = gateway_reply::outcome::refused;
                               done(reply);
                           });
}

void cluster_entry::cancel(const caller_identity& caller, std::string id, milliseconds timeout,
                           callback done)
{
    const auto admission = this->admit(caller);
    if (admission.queue == nullptr) {
        done(admission.refusal);
        return;
    }
    this->send_until_deadline(
        {peer_topic::cancel, std::move(id), boot_time() + timeout, std::move(done)});
}

void cluster_entry::count_waiting(const caller_identity& caller, milliseconds timeout,
                                  callback done)
{
    const auto admission = this->admit(caller);
    if (admission.queue == nullptr) {
        done(admission.refusal);
        return;
    }
    this->call_coordinator(
        peer_topic::queue_length, admission.queue->name, timeout,
        [done = std::move(done)](const auto& payload) { done(decode_coordinator_reply(payload)); });
}

} // namespace verbenalever
