#pragma once

#include "coordination/peer_message.h"
#include "loop/timer.h"
#include "order_relay/relay_selector.h"
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

/// Sends the coordinator's orders to targets through relays, which are VMs in the targets'
/// availability zones.
///
/// Relays spread the HTTP traffic to the targets, which is most of an order's cost, over several
/// VMs. The semantics of orders stay the same: each carries the coordinator's fencing token, and an
/// order without a response may still be executed later. In a small fleet the coordinator sends
/// orders directly.
class relayed_orders final : public target_orders {
public:
    using reply_callback = std::function<void(absl::StatusOr<std::string>)>;
    struct environment {
        event_loop& loop;
        target_orders& direct;
        counters& count;
        const event_log& log;
        /// Send a request to a VM.
        /// @return false when it is not connected; then @p done is not called
        std::function<bool(const std::string& vm, peer_topic topic, std::string payload,
                           milliseconds timeout, reply_callback done)>
            call;
    };

    explicit relayed_orders(environment env);
    ~relayed_orders() override;
    relayed_orders(const relayed_orders&) = delete;
    relayed_orders& operator=(const relayed_orders&) = delete;

    /// Add or update a relay; called at each heartbeat of the VM.
    void update_relay(const std::string& vm, const std::string& availability_zone,
                      double processor_share);

    /// Stop using a VM as relay because it left or is about to leave.
    void remove_relay(const std::string& vm);

    /// Set the number of targets in the fleet; relays are used only above max_direct_targets.
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

    /// In a fleet of at most this many targets the coordinator sends all orders directly; in a
    /// larger one it sends them through relays. Sending directly to the 48 targets of the users'
    /// fleet takes a fifth of the processor time of a VM that may use a quarter of a core.
    static constexpr std::size_t max_direct_targets = 100;
    /// A relay that did not reply in time is not used for this long: twice the silence after which
    /// its connection counts as dead.
    static constexpr milliseconds suspicion_time{2000};

private:
    struct known_relay {
        std::string availability_zone;
        double processor_share = 0; ///< in cores
    };
    /// One order that is sent through relays.
    struct relayed_order {
        target_life target;
        peer_topic topic;
        std::string payload;
        milliseconds timeout;         ///< for the target's response
        int relay_attempts_left = 2;  ///< number of relays that may still be tried
        reply_callback done;          ///< receives the relay's reply or an error
        std::function<void()> direct; ///< sends the order without a relay
    };

    /// @return whether orders are sent directly because the fleet is small
    [[nodiscard]] bool bypasses_relays() const
    {
        return this->fleet_size <= max_direct_targets;
    }
    void send_through_relay(const std::shared_ptr<relayed_order>& order);
    void handle_reply(const std::string& vm, const std::shared_ptr<relayed_order>& order,
                      absl::StatusOr<std::string> reply);
    void mark_suspected(const std::string& vm);
    void readmit_relays();

    environment env;
    relay_selector selector; ///< selects among the relays that are not suspected
    std::map<std::string, known_relay, std::less<>> known_relays;
    /// Time since boot until which the relay is not used, by VM.
    std::map<std::string, milliseconds, std::less<>> suspected_until;
    std::size_t fleet_size = 0;
    timer readmit_timer;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace verbenalever
