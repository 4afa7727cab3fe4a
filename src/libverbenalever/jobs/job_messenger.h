#pragma once

#include "loop/timer.h"
#include "membership/message_codec.h"
#include "membership/peer_mesh.h"

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace verbenalever {

/// Sends typed messages to entry daemons, this one included, so that a driver need not distinguish
/// whether its own entry daemon holds a target. Messages to this entry daemon are delivered in
/// order by a later iteration of the event loop.
class job_messenger {
public:
    job_messenger(event_loop& loop, peer_mesh& mesh, std::string self)
        : mesh(mesh), self(std::move(self)), deliver_timer(loop, [this] { this->deliver(); })
    {
    }

    /// Set the handler of one type of message, from peers and from this entry daemon.
    template <typename Message>
    void on(std::function<void(const std::string& from, const Message&)> action)
    {
        this->handlers[Message::type] = [this, action](std::string_view body) {
            if (const auto message = unpack_message<Message>(body); message.ok())
                action(this->self, *message);
        };
        this->mesh.on<Message>(std::move(action));
    }

    /// Send to one entry daemon. The message is dropped without an error when that entry daemon is
    /// not connected.
    template <typename Message>
    void send(std::string_view to, const Message& message)
    {
        if (to != this->self)
            return this->mesh.send(to, message);
        this->queue.emplace_back(Message::type, pack_message(message));
        if (!this->deliver_timer.active())
            this->deliver_timer.start_once(microseconds(0));
    }

    /// Send to every entry daemon, this one included.
    template <typename Message>
    void send_all(const Message& message)
    {
        this->mesh.broadcast(message);
        this->send(this->self, message);
    }

private:
    void deliver()
    {
        auto arrived = std::move(this->queue);
        this->queue.clear();
        for (const auto& [type, body] : arrived) {
            if (const auto found = this->handlers.find(type); found != this->handlers.end())
                found->second(body);
        }
    }

    peer_mesh& mesh;
    std::string self;
    std::map<std::string, std::function<void(std::string_view)>, std::less<>> handlers;
    std::deque<std::pair<std::string, std::string>> queue;
    timer deliver_timer;
};

} // namespace verbenalever
