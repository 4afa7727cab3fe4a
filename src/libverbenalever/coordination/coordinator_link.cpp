#include "coordination/coordinator_link.h"

#include "loop/endpoint.h"
#include "loop/event_loop.h"
#include "wire/frame_connection.h"

namespace verbenalever {

namespace {

/// Wait before the connection is opened again.
constexpr milliseconds reconnect_wait{150};

} // namespace

coordinator_link::coordinator_link(event_loop& loop, std::string local_address, callbacks notify)
    : loop(loop), local_address(std::move(local_address)), notify(std::move(notify)),
      retry_timer(loop, [this] {
          this->former.reset();
          this->connect();
      })
{
}

coordinator_link::~coordinator_link() = default;

void coordinator_link::follow(const std::optional<coordinator_record>& coordinator)
{
    if (coordinator && this->coordinator && coordinator->tenure == this->coordinator->tenure)
        return;
    this->coordinator = coordinator;
    this->known = false;
    if (this->open) {
        this->former = std::move(this->open);
        if (this->announced) {
            this->announced = false;
            this->notify.changed(false);
        }
    }
    this->retry_timer.start_once(milliseconds(0));
}

peer_channel* coordinator_link::channel()
{
    return this->up() ? this->open.get() : nullptr;
}

bool coordinator_link::up() const
{
    return this->open != nullptr && this->open->heard();
}

void coordinator_link::connect()
{
    if (!this->coordinator || this->open)
        return;
    const auto address = endpoint::parse(this->coordinator->address);
    if (!address.ok())
        return; // an unreadable record: the next coordinator writes its own
    auto connection = frame_connection::connect(this->loop, *address, this->local_address);
    if (!connection.ok()) {
        this->retry_timer.start_once(reconnect_wait);
        if (this->known && absl::IsFailedPrecondition(connection.status()))
            this->notify.refused();
        return;
    }
    this->open = std::make_unique<peer_channel>(
        this->loop, *std::move(connection),
        [this](peer_topic topic, std::string_view payload, peer_channel::replier reply) {
            if (!this->open)
                return; // of a coordinator that is no longer followed
            if (!this->announced) {
                this->announced = true;
                this->known = true;
                this->notify.changed(true);
            }
            this->notify.take(topic, payload, std::move(reply));
        },
        [this] { this->closed(); });
    this->open->set_heartbeat(this->notify.greeting);
    this->open->note(peer_topic::hello, this->notify.greeting());
}

void coordinator_link::closed()
{
    // A channel that is no longer followed ends: it stays until the loop has it again.
    if (!this->open)
        return;
    const bool by_peer = this->open->closed_by_peer();
    const bool was_heard = this->open->heard();
    this->former = std::move(this->open);
    if (this->announced) {
        this->announced = false;
        this->notify.changed(false);
    }
    // After a reset the next try tells at once whether the process is still there.
    this->retry_timer.start_once(by_peer && was_heard ? milliseconds(0) : reconnect_wait);
    if (this->known && by_peer && !was_heard)
        this->notify.refused();
}

} // namespace verbenalever
