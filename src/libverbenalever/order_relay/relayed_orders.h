#pragma once

#include "coordination/peer_message.h"
#include "loop/timer.h"
#include "order_relay/relay_choice.h"
#include "ports/target_orders.h"

#include <absl/status/statusor.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace verbenalever {

class counters;
class event_loop;
class event_log;

/// Orders of the coordinator, carried out by VMs of the targets' availability zones.
///
/// The coordinator decides; HTTP towards the targets, which is most of an order's cost, is divided
/// among the relays. An order keeps its meaning: it carries the coordinator's fencing token, and
/// one without an answer may still be carried out later, as on any network. A small fleet is spoken
/// to directly.
class relayed_orders final : public target_orders {
public:
    using reply_callback = std::function<void(absl::StatusOr<std::string>)>;
    struct environment {
        event_loop& loop;
        target_orders& direct;
        counters& count;
        const event_log& log;
        /// Ask a VM. @return false when it is not connected; then @p done is not called
        std::function<bool(const std::string& vm, peer_topic topic, std::string payload,
                           milliseconds timeout, reply_callback done)>
            call;
    };

    explicit relayed_orders(environment around);
    ~relayed_orders() override;
    relayed_orders(const relayed_orders&) = delete;
    relayed_orders& operator=(const relayed_orders&) = delete;

    /// A VM can carry orders; told again with each of its heartbeats.
    void put_relay(const std::string& vm, const std::string& availability_zone,
                   double processor_share);

    /// A VM can carry orders no more: it left, or is about to.
    void remove_relay(const std::string& vm);

    /// Say how many targets there are: with few of them the relays are not used.
    void set_fleet_size(std::size_t targets)
    {
        this->fleet_size = targets;
    }

    void start(const target_life& target, const order_authority& authority,
               const start_order& order, milliseconds timeout, order_callback done) override;
    void stop(const target_life& target, const order_authority& authority, const task_name& task,
              std::int64_t run, milliseconds timeout, order_callback done) override;
    void poll(const target_life& target, const order_authority& authority,
              std::int64_t acknowledged, milliseconds wait, milliseconds timeout,
              view_callback done) override;

    /// Up to so many targets the coordinator speaks to by itself: a coordinator of the users' 48
    /// targets uses a fifth of a VM's quarter of a core.
    static constexpr std::size_t direct_limit = 100;
    /// A relay that did not reply is passed over for this long: twice the silence after which its
    /// connection counts as dead.
    static constexpr milliseconds suspicion{2000};

private:
    struct known_relay {
        std::string availability_zone;
        double processor_share = 0; ///< of one core
    };
    /// One order on its way through a relay.
    struct carried_order {
        target_life target;
        peer_topic topic;
        std::string payload;
        milliseconds timeout;         ///< for the target's answer
        int relays_left = 2;          ///< that may still be tried
        reply_callback done;          ///< the relay's reply, or why there is none
        std::function<void()> direct; ///< give the order without a relay
    };

    /// @return whether the fleet is so small that the relays are not used
    [[nodiscard]] bool small_fleet() const
    {
        return this->fleet_size <= direct_limit;
    }
    void carry(const std::shared_ptr<carried_order>& order);
    void take_reply(const std::string& vm, const std::shared_ptr<carried_order>& order,
                    absl::StatusOr<std::string> reply);
    void suspect(const std::string& vm);
    void trust_again();

    environment around;
    relay_choice relays; ///< those that are used now
    std::map<std::string, known_relay, std::less<>> known;
    std::map<std::string, milliseconds, std::less<>> suspects; ///< until when (boot time), by VM
    std::size_t fleet_size = 0;
    timer trust_timer;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace verbenalever
