#include "order_relay/order_relay.h"

#include "membership/message_codec.h"
#include "order_relay/order_messages.h"
#include "ports/target_orders.h"
#include "timeline/counters.h"

#include <absl/status/statusor.h>

namespace verbenalever {

namespace {

/// A received order, and the life of the target that it is addressed to.
template <typename Order>
struct addressed_order {
    Order order;
    target_life life;
};

/// @return the decoded order, or an error when it is malformed
template <typename Order>
absl::StatusOr<addressed_order<Order>> parse_order(std::string_view payload)
{
    auto order = unpack_message<Order>(payload);
    if (!order.ok())
        return order.status();
    const auto address = endpoint::parse(order->head.address);
    if (!address.ok())
        return address.status();
    target_life life{
        .name = order->head.target, .born_ms = order->head.born_ms, .address = *address};
    return addressed_order<Order>{*std::move(order), std::move(life)};
}

order_authority authority_of(const relayed_order_header& head)
{
    return {.fencing_token = head.fencing_token,
            .lease_until_ms = head.lease_until_ms,
            .term = head.term};
}

std::string packed_refusal()
{
    return pack_message(relayed_result_of({.how = order_result::outcome::refused}));
}

} // namespace

order_relay::order_relay(target_orders& orders, counters& count) : orders(orders), count(count) {}

bool order_relay::too_old(const relayed_order_header& head)
{
    // Earlier builds give all targets the term as fencing token, and do not send it.
    const auto term = head.term != 0 ? head.term : head.fencing_token;
    const auto delay =
        this->delay_estimator.delay_of(term, milliseconds(head.sent_ms), boot_time());
    if (delay < milliseconds(head.timeout_ms))
        return false;
    this->count.add("orders_too_old");
    return true;
}

bool order_relay::handle(peer_topic topic, std::string_view payload,
                         const peer_channel::replier& reply)
{
    const bool order = topic == peer_topic::start_run || topic == peer_topic::stop_run ||
                       topic == peer_topic::poll_target;
    if (!order || !reply)
        return order;
    if (topic == peer_topic::start_run)
        this->start(payload, reply);
    else if (topic == peer_topic::stop_run)
        this->stop(payload, reply);
    else
        this->poll(payload, reply);
    return true;
}

void order_relay::start(std::string_view payload, const peer_channel::replier& reply)
{
    auto read = parse_order<relayed_start>(payload);
    if (!read.ok()) {
        reply(packed_refusal());
        return;
    }
    auto& [order, life] = *read;
    if (this->too_old(order.head))
        return;
    this->orders.start(life, authority_of(order.head),
                       {.task = task_of(order.task),
                        .run = order.run,
                        .payload = std::move(order.payload),
                        .checkpoint = std::move(order.checkpoint),
                        .ticket = std::move(order.ticket)},
                       milliseconds(order.head.timeout_ms), [reply](const order_result& result) {
                           reply(pack_message(relayed_result_of(result)));
                       });
}

void order_relay::stop(std::string_view payload, const peer_channel::replier& reply)
{
    const auto read = parse_order<relayed_stop>(payload);
    if (!read.ok()) {
        reply(packed_refusal());
        return;
    }
    const auto& [order, life] = *read;
    if (this->too_old(order.head))
        return;
    this->orders.stop(life, authority_of(order.head), task_of(order.task), order.run,
                      milliseconds(order.head.timeout_ms), [reply](const order_result& result) {
                          reply(pack_message(relayed_result_of(result)));
                      });
}

void order_relay::poll(std::string_view payload, const peer_channel::replier& reply)
{
    const auto read = parse_order<relayed_poll>(payload);
    if (!read.ok()) {
        reply(pack_message(relayed_view_of({})));
        return;
    }
    const auto& [order, life] = *read;
    if (this->too_old(order.head))
        return;
    this->orders.poll(
        life, authority_of(order.head), order.acknowledged, milliseconds(order.wait_ms),
        milliseconds(order.head.timeout_ms),
        [reply](const target_view& view) { reply(pack_message(relayed_view_of(view))); });
}

} // namespace verbenalever
