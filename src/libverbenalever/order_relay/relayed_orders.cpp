#include "order_relay/relayed_orders.h"

#include "loop/event_loop.h"
#include "membership/message_codec.h"
#include "order_relay/order_messages.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"

#include <utility>

namespace verbenalever {

namespace {

/// Time for the way to a relay and back, beyond what the target is given.
constexpr milliseconds relay_time{200};
/// How often it is asked whether the time of suspicion is over.
constexpr milliseconds trust_interval{500};

/// @return how the target took an order; unknown when no relay has said
order_result read_result(const absl::StatusOr<std::string>& reply)
{
    if (!reply.ok())
        return {};
    const auto read = unpack_message<relayed_result>(*reply);
    return read.ok() ? result_of(*read) : order_result{};
}

/// @return what a look saw; nothing, with an unknown result, when no relay has said
target_view read_view(const absl::StatusOr<std::string>& reply)
{
    if (!reply.ok())
        return {};
    const auto read = unpack_message<relayed_view>(*reply);
    return read.ok() ? view_of(*read) : target_view{};
}

} // namespace

relayed_orders::relayed_orders(environment around)
    : around(std::move(around)), trust_timer(this->around.loop, [this] { this->trust_again(); })
{
}

relayed_orders::~relayed_orders()
{
    *this->alive = false;
}

void relayed_orders::put_relay(const std::string& vm, const std::string& availability_zone,
                               double processor_share)
{
    this->known[vm] = {availability_zone, processor_share};
    if (!this->suspects.contains(vm))
        this->relays.put(vm, availability_zone, processor_share);
}

void relayed_orders::remove_relay(const std::string& vm)
{
    this->known.erase(vm);
    this->suspects.erase(vm);
    this->relays.remove(vm);
}

void relayed_orders::suspect(const std::string& vm)
{
    const auto found = this->known.find(vm);
    if (found == this->known.end())
        return;
    if (!this->suspects.contains(vm))
        this->around.log.write("order_relay", "relay_suspected", {{"vm", vm}});
    this->suspects[vm] = boot_time() + suspicion;
    this->relays.remove(vm);
    if (!this->trust_timer.active())
        this->trust_timer.start_repeating(trust_interval);
}

void relayed_orders::trust_again()
{
    const auto now = boot_time();
    std::erase_if(this->suspects, [&](const auto& entry) {
        if (now < entry.second)
            return false;
        const auto& [zone, share] = this->known.at(entry.first);
        this->relays.put(entry.first, zone, share);
        return true;
    });
    if (this->suspects.empty())
        this->trust_timer.stop();
}

void relayed_orders::carry(const std::shared_ptr<carried_order>& order)
{
    const auto* chosen = this->relays.choose(order->target.name, order->target.availability_zone);
    if (chosen == nullptr) {
        order->direct();
        return;
    }
    const auto vm = *chosen;
    --order->relays_left;
    const bool sent = this->around.call(
        vm, order->topic, order->payload, order->timeout + relay_time,
        [this, alive = this->alive, vm, order](absl::StatusOr<std::string> reply) {
            if (*alive)
                this->take_reply(vm, order, std::move(reply));
            else
                order->done(std::move(reply));
        });
    if (sent)
        this->around.count.add("orders_relayed");
    else
        order->direct();
}

void relayed_orders::take_reply(const std::string& vm, const std::shared_ptr<carried_order>& order,
                                absl::StatusOr<std::string> reply)
{
    if (reply.ok()) {
        order->done(std::move(reply));
        return;
    }
    // The relay's silence is not the target's, and every order may be given twice.
    if (absl::IsDeadlineExceeded(reply.status()))
        this->suspect(vm);
    else
        this->remove_relay(vm);
    if (order->relays_left > 0)
        this->carry(order);
    else
        order->done(std::move(reply));
}

void relayed_orders::start(const target_life& target, const order_authority& authority,
                           const start_order& order, milliseconds timeout, order_callback done)
{
    if (this->small_fleet()) {
        this->around.direct.start(target, authority, order, timeout, std::move(done));
        return;
    }
    auto payload = pack_message(relayed_start{relayed_head_of(target, authority, timeout),
                                              relayed_task_of(order.task), order.run, order.payload,
                                              order.checkpoint, order.ticket});
    this->carry(std::make_shared<carried_order>(carried_order{
        .target = target,
        .topic = peer_topic::start_run,
        .payload = std::move(payload),
        .timeout = timeout,
        .done = [done](const auto& reply) { done(read_result(reply)); },
        .direct = [this, target, authority, order, timeout,
                   done] { this->around.direct.start(target, authority, order, timeout, done); }}));
}

void relayed_orders::stop(const target_life& target, const order_authority& authority,
                          const task_name& task, std::int64_t run, milliseconds timeout,
                          order_callback done)
{
    if (this->small_fleet()) {
        this->around.direct.stop(target, authority, task, run, timeout, std::move(done));
        return;
    }
    auto payload = pack_message(
        relayed_stop{relayed_head_of(target, authority, timeout), relayed_task_of(task), run});
    this->carry(std::make_shared<carried_order>(
        carried_order{.target = target,
                      .topic = peer_topic::stop_run,
                      .payload = std::move(payload),
                      .timeout = timeout,
                      .done = [done](const auto& reply) { done(read_result(reply)); },
                      .direct =
                          [this, target, authority, task, run, timeout, done] {
                              this->around.direct.stop(target, authority, task, run, timeout, done);
                          }}));
}

void relayed_orders::poll(const target_life& target, const order_authority& authority,
                          std::int64_t acknowledged, milliseconds wait, milliseconds timeout,
                          view_callback done)
{
    if (this->small_fleet()) {
        this->around.direct.poll(target, authority, acknowledged, wait, timeout, std::move(done));
        return;
    }
    auto payload = pack_message(
        relayed_look{relayed_head_of(target, authority, timeout), acknowledged, wait.count()});
    this->carry(std::make_shared<carried_order>(carried_order{
        .target = target,
        .topic = peer_topic::look_at_target,
        .payload = std::move(payload),
        .timeout = timeout,
        .done = [done](const auto& reply) { done(read_view(reply)); },
        .direct =
            [this, target, authority, acknowledged, wait, timeout, done] {
                this->around.direct.poll(target, authority, acknowledged, wait, timeout, done);
            }}));
}

} // namespace verbenalever
