#pragma once

#include "coordination/peer_channel.h"
#include "coordination/peer_message.h"
#include "order_relay/order_delay_estimator.h"

#include <string_view>

namespace verbenalever {

class counters;
class target_orders;
struct relayed_order_header;

/// Receives the coordinator's orders on a VM in the targets' zone and sends them to the targets.
class order_relay {
public:
    order_relay(target_orders& orders, counters& count);

    /// Send an order to its target and reply with the target's response. An order that was delayed
    /// for longer than the coordinator waits, by a pause of this process or a busy link, is dropped
    /// without a reply: the coordinator may have abandoned the run and the target may have
    /// restarted.
    /// @return false when the topic is not that of an order
    bool handle(peer_topic topic, std::string_view payload, const peer_channel::replier& reply);

private:
    void start(std::string_view payload, const peer_channel::replier& reply);
    void stop(std::string_view payload, const peer_channel::replier& reply);
    void poll(std::string_view payload, const peer_channel::replier& reply);
    [[nodiscard]] bool too_old(const relayed_order_header& head);

    target_orders& orders;
    counters& count;
    order_delay_estimator delay_estimator;
};

} // namespace verbenalever
