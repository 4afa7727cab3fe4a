#include "coordination/member_hub.h"

#include "coordination/member_messages.h"
#include "loop/endpoint.h"
#include "loop/event_loop.h"
#include "membership/message_codec.h"

#include <algorithm>

namespace verbenalever {

member_hub::member_hub(event_loop& loop, callbacks notify)
    : loop(loop), notify(std::move(notify)),
      cleanup_timer(loop, [this] { this->closed_channels.clear(); })
{
}

member_hub::~member_hub() = default;

absl::Status member_hub::listen(const endpoint& address)
{
    auto listening = frame_listener::listen(
        this->loop, address, [this](auto connection) { this->accept(std::move(connection)); });
    if (!listening.ok())
        return listening.status();
    this->listener = *std::move(listening);
    return absl::OkStatus();
}

std::uint16_t member_hub::port() const
{
    return this->listener ? this->listener->port() : std::uint16_t{0};
}

void member_hub::accept(std::unique_ptr<frame_connection> new_connection)
{
    const auto number = ++this->last_number;
    auto& entry = this->connections[number];
    entry.channel = std::make_unique<peer_channel>(
        this->loop, std::move(new_connection),
        [this, number](peer_topic topic, std::string_view payload, peer_channel::replier reply) {
            this->on_message(number, topic, payload, std::move(reply));
        },
        [this, number] { this->close(number); });
    entry.channel->set_heartbeat(this->notify.greeting);
    // The member must not take this process for the coordinator, or for none, until the next one.
    entry.channel->send_heartbeat();
}

void member_hub::on_message(std::uint64_t number, peer_topic topic, std::string_view payload,
                            peer_channel::replier reply)
{
    if (topic != peer_topic::hello && topic != peer_topic::heartbeat) {
        this->notify.on_message(topic, payload, std::move(reply));
        return;
    }
    const auto greeting = unpack_message<member_greeting>(payload);
    if (!greeting.ok())
        return; // e.g. the first heartbeat of a channel, whose payload is empty
    auto& entry = this->connections.at(number);
    const bool first_greeting = entry.vm.empty();
    entry.vm = greeting->vm;
    // After a pause, what was left in a connection that the member has replaced since is read after
    // the first greeting on the new one.
    if (const auto member = this->members.find(greeting->vm);
        member != this->members.end() && member->second > number)
        return;
    this->members[greeting->vm] = number;
    this->disconnected.erase(greeting->vm);
    if (first_greeting)
        this->notify.joined(*greeting);
    else
        this->notify.heartbeat(*greeting);
}

void member_hub::close(std::uint64_t number)
{
    const auto found = this->connections.find(number);
    if (found == this->connections.end())
        return;
    const auto vm = found->second.vm;
    this->closed_channels.push_back(std::move(found->second.channel));
    this->cleanup_timer.start_once(milliseconds(0));
    this->connections.erase(found);
    if (const auto member = this->members.find(vm);
        member != this->members.end() && member->second == number) {
        this->members.erase(member);
        this->disconnected[vm] = boot_time();
        this->notify.left(vm);
    }
}

peer_channel* member_hub::find(const std::string& vm)
{
    const auto member = this->members.find(vm);
    return member == this->members.end() ? nullptr
                                         : this->connections.at(member->second).channel.get();
}

void member_hub::forget_disconnected(milliseconds when)
{
    std::erase_if(this->disconnected, [when](const auto& entry) { return entry.second < when; });
}

bool member_hub::all_members_answered_within(milliseconds span) const
{
    // After a pause of this process, connections that have ended meanwhile still look open, and
    // heartbeats that were sent before they ended are still unread.
    const auto earliest = boot_time() - span;
    return this->disconnected.empty() && !this->members.empty() &&
           std::ranges::all_of(this->members, [&](const auto& member) {
               return this->connections.at(member.second).channel->answered_at() >= earliest;
           });
}

void member_hub::for_each_member(
    const std::function<void(const std::string& vm, peer_channel&)>& visit)
{
    for (const auto& [vm, number] : this->members)
        visit(vm, *this->connections.at(number).channel);
}

} // namespace verbenalever
