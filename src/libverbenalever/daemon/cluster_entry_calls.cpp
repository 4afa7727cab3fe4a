// Callers' calls at an entry: admitted, handed to the coordinator, and asked again of the next one.

#include "daemon/cluster_entry.h"

#include "coordination/member_messages.h"
#include "membership/message_codec.h"
#include "ports/metadata_store.h"

namespace verbenalever {

namespace {

/// How often calls whose coordinator went away are tried again.
constexpr milliseconds parked_interval{100};

gateway_reply reply_of(const member_reply& from)
{
    gateway_reply reply{.state = static_cast<workflow_state>(from.state),
                        .waiting_count = from.count,
                        .from_coordinator = true};
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

/// @return what a coordinator's reply means; a call without one may have been carried out
gateway_reply read_reply(const absl::StatusOr<std::string>& payload)
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
    return reply_of(*reply);
}

} // namespace

void cluster_entry::ask_coordinator(peer_topic topic, std::string payload, milliseconds patience,
                                    coordinator_reply done)
{
    if (this->duty) {
        // The same path as for a member, so that there is one behaviour.
        auto once = std::make_shared<coordinator_reply>(std::move(done));
        this->serve(topic, payload, [once](std::string reply) { (*once)(std::move(reply)); });
        return;
    }
    auto* channel = this->link.channel();
    if (channel == nullptr) {
        done(absl::FailedPreconditionError("no coordinator is known"));
        return;
    }
    channel->call(topic, std::move(payload), patience, std::move(done));
}

void cluster_entry::ask_until(parked_call call)
{
    const auto left = call.deadline - boot_time();
    auto kept = std::make_shared<parked_call>(std::move(call));
    this->ask_coordinator(kept->topic, kept->payload, left, [this, kept](const auto& payload) {
        auto reply = read_reply(payload);
        // That no coordinator was found now says nothing of what an earlier one has done.
        if (kept->asked && !reply.from_coordinator)
            reply.how = gateway_reply::outcome::unknown;
        if (reply.how != gateway_reply::outcome::unknown ||
            boot_time() + parked_interval >= kept->deadline) {
            kept->done(reply);
            return;
        }
        kept->asked = true;
        this->parked.push_back(std::move(*kept));
        if (!this->parked_timer.active())
            this->parked_timer.start_repeating(parked_interval);
    });
}

void cluster_entry::retry_parked()
{
    const bool served = this->duty != nullptr || this->link.up();
    auto calls = std::move(this->parked);
    this->parked.clear();
    for (auto& call : calls) {
        if (boot_time() + parked_interval >= call.deadline)
            call.done({.how = gateway_reply::outcome::unknown});
        else if (served)
            this->ask_until(std::move(call));
        else
            this->parked.push_back(std::move(call));
    }
    if (this->parked.empty())
        this->parked_timer.stop();
}

cluster_entry::permit cluster_entry::admit(const caller_identity& caller) const
{
    permit result;
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
                           milliseconds patience, callback done)
{
    const auto permit = this->admit(caller);
    if (permit.queue == nullptr) {
        done(permit.refusal);
        return;
    }
    if (!spec.validate().ok()) {
        done({.how = gateway_reply::outcome::invalid});
        return;
    }
    this->ask_until({peer_topic::submit,
                     pack_message(workflow_submission{std::move(id), permit.queue->name,
                                                      permit.team, std::move(spec)}),
                     boot_time() + patience, std::move(done)});
}

void cluster_entry::status(const caller_identity& caller, std::string id, milliseconds patience,
                           callback done)
{
    const auto permit = this->admit(caller);
    if (permit.queue == nullptr) {
        done(permit.refusal);
        return;
    }
    this->ask_coordinator(peer_topic::status, id, patience,
                          [this, id, done = std::move(done)](const auto& payload) mutable {
                              const auto reply = read_reply(payload);
                              if (reply.how == gateway_reply::outcome::refused ||
                                  reply.how == gateway_reply::outcome::unknown)
                                  this->read_status(std::move(id), std::move(done));
                              else
                                  done(reply);
                          });
}

void cluster_entry::read_status(std::string id, callback done)
{
    this->outside.store.read(this->own.key_prefix + "w/" + id, [done = std::move(done)](
                                                                   const auto& item) {
        gateway_reply reply{.how = gateway_reply::outcome::refused};
        if (item.ok() && !*item)
            reply.how = gateway_reply::outcome::no_workflow;
        else if (item.ok()) {
            if (const auto record = unpack_message<workflow_record>((*item)->value); record.ok()) {
                reply.how = gateway_reply::outcome::accepted;
                reply.state = record->stored_state();
            }
        }
        done(reply);
    });
}

void cluster_entry::cancel(const caller_identity& caller, std::string id, milliseconds patience,
                           callback done)
{
    const auto permit = this->admit(caller);
    if (permit.queue == nullptr) {
        done(permit.refusal);
        return;
    }
    this->ask_until({peer_topic::cancel, std::move(id), boot_time() + patience, std::move(done)});
}

void cluster_entry::count_waiting(const caller_identity& caller, milliseconds patience,
                                  callback done)
{
    const auto permit = this->admit(caller);
    if (permit.queue == nullptr) {
        done(permit.refusal);
        return;
    }
    this->ask_coordinator(
        peer_topic::queue_length, permit.queue->name, patience,
        [done = std::move(done)](const auto& payload) { done(read_reply(payload)); });
}

} // namespace verbenalever
