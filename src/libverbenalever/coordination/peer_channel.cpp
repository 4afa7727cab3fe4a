#include "coordination/peer_channel.h"

#include "membership/message_codec.h"
#include "wire/frame_connection.h"

#include <algorithm>

namespace verbenalever {

namespace {

/// How often open calls are checked for those past their deadline.
constexpr milliseconds call_check_interval{100};

} // namespace

peer_channel::peer_channel(event_loop& loop, std::unique_ptr<frame_connection> connection,
                           handler on_message, std::function<void()> closed)
    : connection(std::move(connection)), on_message(std::move(on_message)),
      closed(std::move(closed)), heartbeat_timer(loop, [this] { this->on_heartbeat_timer(); }),
      call_timer(loop, [this] { this->expire_calls(); }),
      last_heartbeat_tick(monotonic_clock::now())
{
    this->connection->set_handlers([this](std::string_view frame) { this->receive(frame); },
                                   [this] {
                                       this->peer_closed = true;
                                       this->close_channel();
                                   });
    this->heartbeat_timer.start_repeating(heartbeat_interval);
    this->send_heartbeat();
}

peer_channel::~peer_channel()
{
    *this->alive = false;
    // Open calls fail also when the channel is destroyed without having closed.
    auto open_calls = std::move(this->calls);
    for (auto& [id, call] : open_calls)
        call.done(absl::UnavailableError("the connection to the peer has ended"));
}

void peer_channel::call(peer_topic topic, std::string payload, milliseconds timeout,
                        reply_callback done)
{
    if (this->ended) {
        done(absl::UnavailableError("the connection to the peer has ended"));
        return;
    }
    const auto id = ++this->last_call;
    this->calls.emplace(id, open_call{monotonic_clock::now() + timeout, std::move(done)});
    if (!this->call_timer.active())
        this->call_timer.start_repeating(call_check_interval);
    this->send({static_cast<int>(peer_message::form::call), id, static_cast<int>(topic),
                std::move(payload)});
}

void peer_channel::send_notification(peer_topic topic, std::string payload)
{
    this->send({static_cast<int>(peer_message::form::notification), 0, static_cast<int>(topic),
                std::move(payload)});
}

void peer_channel::send_heartbeat()
{
    this->send({.kind = static_cast<int>(peer_message::form::notification),
                .topic = static_cast<int>(peer_topic::heartbeat),
                .payload = this->heartbeat_payload ? this->heartbeat_payload() : std::string(),
                .sent_ms = boot_time().count(),
                .echoed_ms = this->peer_sent_ms});
}

std::size_t peer_channel::unsent() const
{
    return this->connection->unsent();
}

void peer_channel::send(const peer_message& message)
{
    if (!this->ended)
        this->connection->send(pack_message(message));
}

void peer_channel::receive(std::string_view frame)
{
    if (this->ended)
        return;
    this->peer_heard = true;
    auto message = unpack_message<peer_message>(frame);
    if (!message.ok())
        return; // e.g. a frame of another version; a call in it times out at the sender
    if (message->kind == static_cast<int>(peer_message::form::reply)) {
        if (auto found = this->calls.find(message->call); found != this->calls.end()) {
            auto done = std::move(found->second.done);
            this->calls.erase(found);
            done(std::move(message->payload));
        }
        return;
    }
    this->peer_sent_ms = std::max(this->peer_sent_ms, message->sent_ms);
    // A time that this process has not reached yet was not sent by it.
    if (const milliseconds echoed(message->echoed_ms); echoed.count() > 0 && echoed <= boot_time())
        this->newest_answered = std::max(this->newest_answered, echoed);
    const auto topic = static_cast<peer_topic>(message->topic);
    if (message->kind == static_cast<int>(peer_message::form::notification)) {
        this->on_message(topic, message->payload, {});
        return;
    }
    this->on_message(topic, message->payload,
                     [this, alive = this->alive, call = message->call,
                      number = message->topic](std::string payload) {
                         if (*alive)
                             this->send_reply(call, number, std::move(payload));
                     });
}

void peer_channel::send_reply(std::uint64_t call, int topic, std::string payload)
{
    this->send({static_cast<int>(peer_message::form::reply), call, topic, std::move(payload)});
}

void peer_channel::on_heartbeat_timer()
{
    const auto now = monotonic_clock::now();
    // After a stall of this process, what the peer has sent in the meantime is still unread.
    if (now - this->last_heartbeat_tick > heartbeat_interval * 2)
        this->silence_ignored_until = now + heartbeat_interval;
    this->last_heartbeat_tick = now;
    if (now >= this->silence_ignored_until &&
        now - this->connection->last_received() > silence_limit) {
        this->close_channel();
        return;
    }
    this->send_heartbeat();
}

void peer_channel::expire_calls()
{
    const auto now = monotonic_clock::now();
    std::vector<reply_callback> expired;
    std::erase_if(this->calls, [&](auto& entry) {
        if (entry.second.deadline > now)
            return false;
        expired.push_back(std::move(entry.second.done));
        return true;
    });
    if (this->calls.empty())
        this->call_timer.stop();
    for (auto& done : expired)
        done(absl::DeadlineExceededError("the peer did not reply in time"));
}

void peer_channel::close_channel()
{
    if (this->ended)
        return;
    this->ended = true;
    this->heartbeat_timer.stop();
    this->call_timer.stop();
    const auto still_here = this->alive;
    auto open_calls = std::move(this->calls);
    this->calls.clear();
    for (auto& [id, call] : open_calls)
        call.done(absl::UnavailableError("the connection to the peer has ended"));
    if (*still_here)
        this->closed();
}

} // namespace verbenalever
