#pragma once

#include "coordination/coordinator_link.h"
#include "coordination/leadership.h"
#include "coordination/member_hub.h"
#include "coordination/snapshot_send_policy.h"
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
        endpoint peer;                 ///< where other entries connect
        double processor_share = 1;    ///< of one core, that this VM has
        std::string key_prefix;        ///< of this product's keys in the store
        milliseconds task_lease{0};    ///< how long tasks go on without word from the coordinator
        milliseconds finished_rest{0}; ///< how long ended workflows are remembered
    };
    struct ports {
        metadata_store& store;
        target_orders& orders;
        target_directory& directory;
        operator_source& operators;
        placement_advisor& advisor;
    };

    cluster_entry(event_loop& loop, settings own, ports outside, const event_log& log,
                  counters& count);
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
                milliseconds patience, callback done) override;
    void status(const caller_identity& caller, std::string id, milliseconds patience,
                callback done) override;
    void cancel(const caller_identity& caller, std::string id, milliseconds patience,
                callback done) override;
    void count_waiting(const caller_identity& caller, milliseconds patience,
                       callback done) override;
    [[nodiscard]] const queue_definition* find_queue(const caller_identity& caller) const override;
    [[nodiscard]] bool has_configuration() const override;

private:
    struct permit {
        const queue_definition* queue = nullptr;
        std::string team;
        gateway_reply refusal;
    };
    using coordinator_reply = std::function<void(absl::StatusOr<std::string>)>;

    [[nodiscard]] permit admit(const caller_identity& caller) const;
    /// A call whose coordinator went away before it replied; asked again of the next one, since
    /// the call is idempotent and only the next one knows what came of it.
    struct parked_call {
        peer_topic topic;
        std::string payload;
        milliseconds deadline; ///< boot time
        callback done;
        bool asked = false; ///< an earlier asking may have been carried out
    };
    void ask_until(parked_call call);
    void retry_parked();
    void check_lag();
    [[nodiscard]] const std::string* stronger_member();
    [[nodiscard]] double strongest_share() const;
    [[nodiscard]] milliseconds courtesy() const;
    void hear_coordinator(const member_greeting& greeting);
    void ask_coordinator(peer_topic topic, std::string payload, milliseconds patience,
                         coordinator_reply done);
    void serve(peer_topic topic, std::string_view payload, peer_channel::replier reply);
    void serve_submit(std::string_view payload, const peer_channel::replier& reply);
    void serve_status(std::string_view payload, const peer_channel::replier& reply);
    void serve_cancel(std::string_view payload, const peer_channel::replier& reply);
    void serve_advise(std::string_view payload, const peer_channel::replier& reply);
    void read_status(std::string id, callback done);
    void won(std::int64_t term, commit_chain& chain);
    void lost();
    void add_advisor(const std::string& vm);
    void take_heartbeat(const member_greeting& member);
    void spread(const member_greeting& heard, peer_channel* to);
    [[nodiscard]] std::string greeting() const;

    event_loop& loop;
    settings own;
    ports outside;
    const event_log& log;
    counters& count;
    std::shared_ptr<const fleet_configuration> configuration;
    member_hub hub;
    coordinator_link link;
    order_relay relay; ///< for whoever coordinates
    snapshot_send_policy snapshots;
    relayed_orders orders; ///< while this process coordinates
    leadership office;
    std::unique_ptr<coordinator> duty;
    std::unique_ptr<coordinator> former_duty; ///< kept until its callers have returned
    timer former_timer;
    lag_meter lag;
    std::map<std::string, std::int64_t> member_lags; ///< milliseconds, by VM
    std::map<std::string, double> member_shares;     ///< of one core, by VM
    int idle_heartbeats = 0; ///< of the coordinator's VM, in a row, that say it does not coordinate
    double strongest_heard;  ///< share of the strongest VM that the coordinator knows of
    bool coordinator_certain = true; ///< as the coordinator last said of itself
    milliseconds won_at{0};          ///< boot time
    timer lag_timer;
    std::vector<parked_call> parked;
    timer parked_timer;
    bool retired = false;
};

} // namespace verbenalever
