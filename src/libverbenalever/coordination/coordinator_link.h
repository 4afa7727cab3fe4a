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

/// A member's connection to the coordinator; opened again when it ends.
class coordinator_link {
public:
    struct callbacks {
        std::function<std::string()> greeting; ///< sent first and with each heartbeat
        std::function<void(peer_topic, std::string_view, peer_channel::replier)> on_message;
        std::function<void(bool up)> connection_changed;
        /// Nobody listens any more where the coordinator was heard: its process is gone. Not told
        /// of one that was never heard: it may be out of reach from here alone.
        std::function<void()> coordinator_gone;
    };

    coordinator_link(event_loop& loop, std::string local_address, callbacks notify);
    ~coordinator_link();
    coordinator_link(const coordinator_link&) = delete;
    coordinator_link& operator=(const coordinator_link&) = delete;

    /// Connect to this coordinator; to none when empty.
    void set_coordinator(const std::optional<coordinator_record>& coordinator);

    /// @return the channel while the coordinator answers on it
    [[nodiscard]] peer_channel* channel();

    /// @return whether a coordinator is heard; silence ends the channel
    [[nodiscard]] bool up() const;

private:
    void connect();
    void on_channel_closed();

    event_loop& loop;
    std::string local_address;
    callbacks notify;
    std::optional<coordinator_record> coordinator;
    std::unique_ptr<peer_channel> current_channel;
    std::unique_ptr<peer_channel> closed_channel; ///< kept until it has returned to the loop
    bool reported_up = false;
    bool ever_heard = false; ///< the coordinator followed was heard
    timer retry_timer;
};

} // namespace verbenalever
