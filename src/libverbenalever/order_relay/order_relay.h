#pragma once

#include "coordination/peer_channel.h"
#include "coordination/peer_message.h"
#include "loop/pause_detector.h"

#include <string_view>

namespace verbenalever {

class counters;
class event_loop;
class target_orders;

/// Carries out the coordinator's orders to targets, on a VM near them.
class order_relay {
public:
    order_relay(event_loop& loop, target_orders& orders, counters& count);

    /// Take an order and reply how the target took it. After a pause of this process nothing is
    /// done and nothing replied: the orders that waited meanwhile may be old, and their targets may
    /// have started again.
    /// @return false when the topic is not an order
    bool take(peer_topic topic, std::string_view payload, const peer_channel::replier& reply);

private:
    void start(std::string_view payload, const peer_channel::replier& reply);
    void stop(std::string_view payload, const peer_channel::replier& reply);
    void look(std::string_view payload, const peer_channel::replier& reply);

    target_orders& orders;
    counters& count;
    pause_detector pauses;
};

} // namespace verbenalever
