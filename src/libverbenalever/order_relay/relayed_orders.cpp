#include "order_relay/relayed_orders.h"

#include "loop/event_loop.h"
#include "membership/message_codec.h"
#include "order_relay/order_messages.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"

#include <utility>

namespace verbenalever {

namespace {

/// Time allowed for the round trip to a relay, in addition to the target's timeout.
constexpr milliseconds relay_round_trip{200};
/// How often suspected relays are checked for readmission.
constexpr milliseconds readmit_check_interval{500};

/// @return the target's response to an order; outcome unknown when no valid reply came
order_result parse_result(const absl::StatusOr<std::string>& reply)
{
    if (!reply.ok())
        return {};
    const auto read = unpack_message<relayed_result>(*reply);
    return read.ok() ? result_of(*read) : order_result{};
}

/// @return the target's response to a poll; empty with outcome unknown when no valid reply came
target_view parse_view(const absl::StatusOr<std::string>& reply)
{
    if (!reply.ok())
        return {};
    const auto read = unpack_message<relayed_view>(*reply);
    return read.ok() ? view_of(*read) : target_view{};
}

} // namespace

relayed_orders::relayed_orders(environment env)
    : env(std::move(env)), readmit_timer(this->env.loop, [this] { this->readmit_relays(); })
{
}

relayed_orders::~relayed_orders()
{
    *this->alive = false;
}

void relayed_orders::update_relay(const std::string& vm, const std::string& availability_zone,
                                  double processor_share)
{
    this->known_relays[vm] = {availability_zone, processor_share};
    if (!this->suspected_until.contains(vm))
        this->selector.update(vm, availability_zone, processor_share);
}

void relayed_orders::remove_relay(const std::string& vm)
{
    this->known_relays.erase(vm);
    this->suspected_until.erase(vm);
    this->selector.remove(vm);
}

void relayed_orders::mark_suspected(const std::string& vm)
{
    const auto found = this->known_relays.find(vm);
    if (found == this->known_relays.end())
        return;
    if (!this->suspected_until.contains(vm))
        this->env.log.write("order_relay", "relay_suspected", {{"vm", vm}});
    this->suspected_until[vm] = boot_time() + suspicion_time;
    this->selector.remove(vm);
    if (!this->readmit_timer.active())
        this->readmit_timer.start_repeating(readmit_check_interval);
}

void relayed_orders::readmit_relays()
{
    const auto now = boot_time();
    std::erase_if(this->suspected_until, [&](const auto& entry) {
        if (now < entry.second)
            return false;
        const auto& [zone, share] = this->known_relays.at(entry.first);
        this->selector.update(entry.first, zone, share);
        return true;
    });
    if (this->suspected_until.empty())
        this->readmit_timer.stop();
}

void relayed_orders::send_through_relay(const std::shared_ptr<relayed_order>& order)
{
    const auto* selected =
        this->selector.choose(order->target.name, order->target.availability_zone);
    if (selected == nullptr) {
        order->direct();
        return;
    }
    const auto vm = *selected;
    --order->relay_attempts_left;
    const bool sent =
        this->env.call(vm, order->topic, order->payload, order->timeout + relay_round_trip,
                       [this, alive = this->alive, vm, order](absl::StatusOr<std::string> reply) {
                           if (*alive)
                               this->handle_reply(vm, order, std::move(reply));
                           else
                               order->done(std::move(reply));
                       });
    if (sent)
        this->env.count.add("orders_relayed");
    else
        order->direct();
}

void relayed_orders::handle_reply(const std::string& vm,
                                  const std::shared_ptr<relayed_order>& order,
                                  absl::StatusOr<std::string> reply)
{
    if (reply.ok()) {
        order->done(std::move(reply));
        return;
    }
    // A missing reply of the relay says nothing about the target. The order can be sent again
    // through another relay because targets accept duplicates.
    if (absl::IsDeadlineExceeded(reply.status()))
        this->mark_suspected(vm);
    else
        this->remove_relay(vm);
    if (order->relay_attempts_left > 0)
        this->send_through_relay(order);
    else
        order->done(std::move(reply));
}

void relayed_orders::start(const target_life& target, const order_authority& authority,
                           const start_order& order, milliseconds timeout, order_callback done)
{
    if (this->bypasses_relays()) {
        this->env.direct.start(target, authority, order, timeout, std::move(done));
        return;
    }
    auto payload = pack_message(relayed_start{header_of(target, authority, timeout),
                                              relayed_task_of(order.task), order.run, order.payload,
                                              order.checkpoint, order.ticket});
    this->send_through_relay(std::make_shared<relayed_order>(relayed_order{
        .target = target,
        .topic = peer_topic::start_run,
        .payload = std::move(payload),
        .timeout = timeout,
        .done = [done](const auto& reply) { done(parse_result(reply)); },
        .direct = [this, target, authority, order, timeout,
                   done] { this->env.direct.start(target, authority, order, timeout, done); }}));
}

void relayed_orders::stop(const target_life& target, const order_authority& authority,
                          const task_name& task, std::int64_t run, milliseconds timeout,
                          order_callback done)
{
    if (this->bypasses_relays()) {
        this->env.direct.stop(target, authority, task, run, timeout, std::move(done));
        return;
    }
    auto payload = pack_message(
        relayed_stop{header_of(target, authority, timeout), relayed_task_of(task), run});
    this->send_through_relay(std::make_shared<relayed_order>(relayed_order{
        .target = target,
        .topic = peer_topic::stop_run,
        .payload = std::move(payload),
        .timeout = timeout,
        .done = [done](const auto& reply) { done(parse_result(reply)); },
        .direct = [this, target, authority, task, run, timeout,
                   done] { this->env.direct.stop(target, authority, task, run, timeout, done); }}));
}

void relayed_orders::poll(const target_life& target, const order_authority& authority,
                          std::int64_t acknowledged, milliseconds wait, milliseconds timeout,
                          view_callback done)
{
    if (this->bypasses_relays()) {
        this->env.direct.poll(target, authority, acknowledged, wait, timeout, std::move(done));
        return;
    }
    auto payload = pack_message(
        relayed_poll{header_of(target, authority, timeout), acknowledged, wait.count()});
    this->send_through_relay(std::make_shared<relayed_order>(relayed_order{
        .target = target,
        .topic = peer_topic::poll_target,
        .payload = std::move(payload),
        .timeout = timeout,
        .done = [done](const auto& reply) { done(parse_view(reply)); },
        .direct =
            [this, target, authority, acknowledged, wait, timeout, done] {
                this->env.direct.poll(target, authority, acknowledged, wait, timeout, done);
            }}));
}

} // namespace verbenalever
