#include "coordination/coordinator_link.h"

#include "loop/endpoint.h"
#include "loop/event_loop.h"
#include "wire/frame_connection.h"

namespace verbenalever {

namespace {

/// Wait before the connection is reopened.
constexpr milliseconds reconnect_wait{150};

} // namespace

coordinator_link::coordinator_link(event_loop& loop, std::string local_address, callbacks notify)
    : loop(loop), local_address(std::move(local_address)), notify(std::move(notify)),
      retry_timer(loop, [this] {
          this->closed_channel.reset();
          this->connect();
      })
{
}

coordinator_link::~coordinator_link() = default;

void coordinator_link::set_coordinator(const std::optional<coordinator_record>& coordinator)
{
    if (coordinator && this->coordinator && coordinator->tenure == this->coordinator->tenure)
        return;
    this->coordinator = coordinator;
    this->ever_heard = false;
    if (this->current_channel) {
        this->closed_channel = std::move(this->current_channel);
        if (this->reported_up) {
            this->reported_up = false;
            this->notify.connection_changed(false);
        }
    }
    this->retry_timer.start_once(milliseconds(0));
}

peer_channel* coordinator_link::channel()
{
    return this->up() ? this->current_channel.get() : nullptr;
}

bool coordinator_link::up() const
{
    return this->current_channel != nullptr && this->current_channel->has_received();
}

void coordinator_link::connect()
{
    if (!this->coordinator || this->current_channel)
        return;
    const auto address = endpoint::parse(this->coordinator->address);
    if (!address.ok())
        return; // malformed record: wait for the next coordinator to write its own
    auto connection = frame_connection::connect(this->loop, *address, this->local_address);
    if (!connection.ok()) {
        this->retry_timer.start_once(reconnect_wait);
        if (this->ever_heard && absl::IsFailedPrecondition(connection.status()))
            this->notify.coordinator_gone();
        return;
    }
    this->current_channel = std::make_unique<peer_channel>(
        this->loop, *std::move(connection),
        [this](peer_topic topic, std::string_view payload, peer_channel::replier reply) {
            if (!this->current_channel)
                return; // the channel is closed or belongs to a previous coordinator
            if (!this->reported_up) {
                this->reported_up = true;
                this->ever_heard = true;
                this->notify.connection_changed(true);
            }
            this->notify.on_message(topic, payload, std::move(reply));
        },
        [this] { this->on_channel_closed(); });
    this->current_channel->set_heartbeat(this->notify.greeting);
    this->current_channel->send_notification(peer_topic::hello, this->notify.greeting());
}

void coordinator_link::on_channel_closed()
{
    // The channel of a previous coordinator has closed.
    if (!this->current_channel)
        return;
    const bool by_peer = this->current_channel->closed_by_peer();
    const bool was_heard = this->current_channel->has_received();
    this->closed_channel = std::move(this->current_channel);
    if (this->reported_up) {
        this->reported_up = false;
        this->notify.connection_changed(false);
    }
    // After a reset, reconnecting at once shows whether the process still listens.
    this->retry_timer.start_once(by_peer && was_heard ? milliseconds(0) : reconnect_wait);
    if (this->ever_heard && by_peer && !was_heard)
        this->notify.coordinator_gone();
}

} // namespace verbenalever
