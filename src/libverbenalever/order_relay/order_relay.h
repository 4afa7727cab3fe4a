#pragma once

#include "coordination/peer_channel.h"
#include "coordination/peer_message.h"
#include "order_relay/order_age.h"

#include <string_view>

namespace verbenalever {

class counters;
class target_orders;
struct relayed_head;

/// Carries out the coordinator's orders to targets, on a VM near them.
class order_relay {
public:
    order_relay(target_orders& orders, counters& count);

    /// Take an order and reply how the target took it. Nothing is done, and nothing replied, when
    /// the order has been on its way for longer than its sender waits, behind a pause of this
    /// process or on a busy link: its run may have been given up, and its target started again.
    /// @return false when the topic is not an order
    bool take(peer_topic topic, std::string_view payload, const peer_channel::replier& reply);

private:
    void start(std::string_view payload, const peer_channel::replier& reply);
    void stop(std::string_view payload, const peer_channel::replier& reply);
    void poll(std::string_view payload, const peer_channel::replier& reply);
    [[nodiscard]] bool too_old(const relayed_head& head);

    target_orders& orders;
    counters& count;
    order_age ages;
};

} // namespace verbenalever
