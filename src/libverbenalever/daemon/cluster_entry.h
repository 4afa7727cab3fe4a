#pragma once

#include "coordination/coordinator_link.h"
#include "coordination/leadership.h"
#include "coordination/member_hub.h"
#include "coordination/snapshot_spread.h"
#include "coordinator/coordinator.h"
#include "gateway/workflow_gateway.h"
#include "loop/endpoint.h"
#include "loop/lag_meter.h"
#include "order_relay/order_relay.h"
#include "order_relay/relayed_orders.h"

#include <absl/status/status.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace verbenalever {

class counters;
struct member_greeting;
class event_log;
class event_loop;
class metadata_store;
class operator_source;
class placement_advisor;
class target_directory;
class target_orders;

/// An entry daemon of a fleet that is placed by one coordinator at a time: takes callers' calls,
/// hands them to the coordinator, and coordinates when the others elect it.
class cluster_entry final : public workflow_gateway {
public:
    struct settings {
        std::string vm;
        std::string availability_zone;
        endpoint peer;                   ///< where other entries connect
        double processor_share = 1;      ///< of one core, that this VM has
        std::string key_prefix;          ///< of this product's keys in the store
        milliseconds task_lease{0};      ///< how long tasks go on without word from the coordinator
        milliseconds ended_retention{0}; ///< how long ended workflows are remembered
    };
    struct ports {
        metadata_store& store;
        target_orders& orders;
        target_directory& directory;
        operator_source& operators;
        placement_advisor& advisor;
    };

    cluster_entry(event_loop& loop, settings own_settings, ports external, const event_log& log,
                  counters& metrics);
    ~cluster_entry() override;
    cluster_entry(const cluster_entry&) = delete;
    cluster_entry& operator=(const cluster_entry&) = delete;

    /// @return UNAVAILABLE when the peers' address cannot be bound
    [[nodiscard]] absl::Status start();

    /// @return whether callers' calls can be served
    [[nodiscard]] bool ready() const;

    /// Hand over what this process coordinates, and coordinate nothing any more.
    void retire();

    /// @return whether this process still coordinates
    [[nodiscard]] bool coordinating() const;

    void submit(const caller_identity& caller, std::string id, workflow_spec spec,
                milliseconds timeout, callback done) override;
    void status(const caller_identity& caller, std::string id, milliseconds timeout,
                callback done) override;
    void cancel(const caller_identity& caller, std::string id, milliseconds timeout,
                callback done) override;
    void count_waiting(const caller_identity& caller, milliseconds timeout, callback done) override;
    [[nodiscard]] const queue_definition* find_queue(const caller_identity& caller) const override;
    [[nodiscard]] bool has_configuration() const override;

private:
    struct admission {
        const queue_definition* queue = nullptr;
        std::string team;
        gateway_reply refusal;
    };
    using coordinator_reply_callback = std::function<void(absl::StatusOr<std::string>)>;

    [[nodiscard]] admission admit(const caller_identity& caller) const;
    /// A call whose coordinator went away before it replied; asked again of the next one, since
    /// the call is idempotent and only the next one knows what came of it.
    struct pending_call {
        peer_topic topic;
        std::string payload;
        milliseconds deadline; ///< boot time
        callback done;
        bool sent_before = false; ///< an earlier asking may have been carried out
    };
    void send_until_deadline(pending_call call);
    void retry_pending_calls();
    void check_hand_over();
    [[nodiscard]] const std::string* stronger_member();
    [[nodiscard]] double strongest_share() const;
    [[nodiscard]] milliseconds candidacy_delay() const;
    void handle_coordinator_heartbeat(const member_greeting& greeting);
    void call_coordinator(peer_topic topic, std::string payload, milliseconds timeout,
                          coordinator_reply_callback done);
    void serve(peer_topic topic, std::string_view payload, peer_channel::replier reply);
    void serve_submit(std::string_view payload, const peer_channel::replier& reply);
    void serve_status(std::string_view payload, const peer_channel::replier& reply);
    void serve_cancel(std::string_view payload, const peer_channel::replier& reply);
    void serve_advise(std::string_view payload, const peer_channel::replier& reply);
    void read_status_from_store(std::string id, callback done);
    void start_coordinating(std::int64_t term, commit_chain& chain);
    void stop_coordinating();
    void add_advisor(const std::string& vm);
    void apply_heartbeat(const member_greeting& member);
    void send_snapshot_if_behind(const member_greeting& peer, peer_channel* channel);
    [[nodiscard]] std::string greeting() const;

    event_loop& loop;
    settings own_settings;
    ports external;
    const event_log& log;
    counters& metrics;
    std::shared_ptr<const fleet_configuration> configuration;
    member_hub hub;
    coordinator_link link;
    order_relay relay; ///< for whoever coordinates
    snapshot_spread snapshots;
    relayed_orders orders; ///< while this process coordinates
    leadership election;
    std::unique_ptr<coordinator> active_coordinator;
    std::unique_ptr<coordinator> former_coordinator; ///< kept until its callers have returned
    timer former_coordinator_timer;
    lag_meter loop_lag;
    std::map<std::string, std::int64_t> member_lags; ///< milliseconds, by VM
    std::map<std::string, double> member_shares;     ///< of one core, by VM
    int non_coordinating_heartbeats =
        0; ///< of the coordinator's VM, in a row, that say it does not coordinate
    double strongest_known_share; ///< share of the strongest VM that the coordinator knows of
    bool coordinator_lease_certain = true; ///< as the coordinator last said of itself
    milliseconds last_role_change{0};      ///< boot time
    timer hand_over_timer;
    std::vector<pending_call> pending_calls;
    timer retry_timer;
    bool retired = false;
};

} // namespace verbenalever
