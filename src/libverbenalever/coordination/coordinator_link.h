#pragma once

#include "coordination/leadership.h"
#include "coordination/peer_channel.h"
#include "loop/timer.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace verbenalever {

class event_loop;

/// A member's connection to the coordinator, reopened when it closes.
class coordinator_link {
public:
    struct callbacks {
        std::function<std::string()> greeting; ///< payload of the hello and of each heartbeat
        std::function<void(peer_topic, std::string_view, peer_channel::replier)> on_message;
        std::function<void(bool up)> connection_changed;
        /// Called each time a coordinator from which a message was received before refuses a
        /// connection: its process has terminated, or the network to it is cut. Not called for a
        /// coordinator that never sent a message, since it may be unreachable from this VM only.
        std::function<void()> coordinator_gone;
    };

    coordinator_link(event_loop& loop, std::string local_address, callbacks notify);
    ~coordinator_link();
    coordinator_link(const coordinator_link&) = delete;
    coordinator_link& operator=(const coordinator_link&) = delete;

    /// Connect to @p coordinator, or to none when empty.
    void set_coordinator(const std::optional<coordinator_record>& coordinator);

    /// @return the channel while up(), else null
    [[nodiscard]] peer_channel* channel();

    /// @return whether a message from the coordinator was received on the open channel (which
    /// closes when no more messages arrive)
    [[nodiscard]] bool up() const;

private:
    void connect();
    void on_channel_closed();

    event_loop& loop;
    std::string local_address;
    callbacks notify;
    std::optional<coordinator_record> coordinator;
    std::unique_ptr<peer_channel> current_channel;
    /// Destroyed later, since it may be executing the callback.
    std::unique_ptr<peer_channel> closed_channel;
    bool reported_up = false;
    bool ever_heard = false; ///< whether this coordinator has ever sent a message
    timer retry_timer;
};

} // namespace verbenalever
