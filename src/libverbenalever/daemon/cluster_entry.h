#pragma once

#include "coordination/coordinator_link.h"
#include "coordination/hand_over_policy.h"
#include "coordination/leadership.h"
#include "coordination/member_hub.h"
#include "coordination/snapshot_send_policy.h"
#include "coordination/strongest_vm_record.h"
#include "coordination/vm_fitness.h"
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
#include <random>
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

/// An entry daemon of a fleet whose work is placed by one coordinator at a time. It forwards
/// callers' calls to the coordinator, and runs the coordinator itself while it is elected.
class cluster_entry final : public workflow_gateway {
public:
    struct settings {
        std::string vm;
        std::string availability_zone;
        endpoint peer;              ///< where this entry daemon listens for other entry daemons
        double processor_share = 1; ///< cores that this VM may use; 0.25: a quarter of one
        double link_mbps = 0;       ///< bandwidth of this VM's network link; 0: not known
        std::string key_prefix;     ///< prefix of this product's keys in the store
        /// A task stops when the coordinator has not renewed its lease this long.
        milliseconds task_lease{0};
        milliseconds longest_task_lease{0}; ///< targets shorten longer leases to this
        /// Targets may keep a start order that they do not answer for 12 s, and the order takes
        /// some time to reach them.
        milliseconds unanswered_start_limit{13'000};
        milliseconds ended_retention{0}; ///< how long ended workflows stay in the store
        /// See coordinator::environment::usage_half_life.
        milliseconds usage_half_life{0};
        admission_policy admission = admission_policy::none;
        advisor_question_policy advisor_questions = advisor_question_policy::minimal;
        preemption_policy preemption = preemption_policy::any;
    };
    /// Implementations of what is outside the process; they outlive this object.
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

    /// Listen for peers, start reading the configuration and join the election.
    /// @return UNAVAILABLE when the peers' address cannot be bound
    [[nodiscard]] absl::Status start();

    /// @return whether callers' calls can be served: there is a configuration, and a coordinator
    ///         whose lease cannot have expired
    [[nodiscard]] bool ready() const;

    /// Hand coordination over to another process, never become coordinator again and report not
    /// ready; called before exit.
    void retire();

    /// @return whether this process is the coordinator
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
    /// Result of the check of a caller's queue and access key.
    struct admission {
        const queue_definition* queue = nullptr; ///< null: the call is refused
        std::string team;                        ///< empty: an open queue, called without a key
        gateway_reply refusal;                   ///< set when the call is refused
    };
    using coordinator_reply_callback = std::function<void(absl::StatusOr<std::string>)>;

    [[nodiscard]] admission admit(const caller_identity& caller) const;
    /// An idempotent call to the coordinator. If the coordinator changes before it replies, the
    /// call is sent again to the next one, since only the next one knows its outcome.
    struct pending_call {
        peer_topic topic;
        std::string payload;
        milliseconds deadline; ///< time since boot
        callback done;
        bool sent_before = false; ///< an earlier attempt may have been carried out
    };
    /// Send the call, and again after each unknown outcome, until its deadline.
    void send_until_deadline(pending_call call);
    void retry_pending_calls();
    /// Hand coordination over if decide_hand_over() says so.
    void check_hand_over();
    void hand_over(milliseconds pause);
    /// Read the fitness of the strongest VM that an earlier coordinator has stored, then join the
    /// election.
    void join_election();
    /// Store the fitness of the strongest known VM when it has changed, for processes that start.
    void store_strongest();
    [[nodiscard]] std::string strongest_key() const;
    /// @return how long the coordinator's transaction has had no answer, or its load no page
    [[nodiscard]] milliseconds time_without_progress() const;
    [[nodiscard]] vm_fitness own_fitness() const;
    /// @return the fitness of the strongest VM that this process knows
    [[nodiscard]] vm_fitness strongest() const;
    /// @return the same of this VM and those of the connected members
    [[nodiscard]] vm_fitness strongest_present() const;
    /// @return how long to let stronger VMs become candidates first
    [[nodiscard]] milliseconds candidacy_delay() const;
    void handle_coordinator_heartbeat(const member_greeting& greeting);
    void call_coordinator(peer_topic topic, std::string payload, milliseconds timeout,
                          coordinator_reply_callback done);
    void serve(peer_topic topic, std::string_view payload, peer_channel::replier reply);
    void serve_submit(std::string_view payload, const peer_channel::replier& reply);
    void serve_status(std::string_view payload, const peer_channel::replier& reply);
    void serve_cancel(std::string_view payload, const peer_channel::replier& reply);
    void serve_advise(std::string_view payload, const peer_channel::replier& reply);
    /// Run the coordinator for the term that this process was elected for.
    void start_coordinating(std::int64_t term, commit_chain& chain);
    void stop_coordinating();
    /// Let the active coordinator send advice questions to @p vm.
    void add_advisor(const std::string& vm);
    void apply_heartbeat(const member_greeting& member);
    /// Send the configuration to a peer whose heartbeats show that it has an older one.
    void send_snapshot_if_behind(const member_greeting& peer, peer_channel* channel);
    /// @return this member's state, as sent on connecting and with each heartbeat
    [[nodiscard]] std::string greeting() const;

    event_loop& loop;
    settings own_settings;
    ports external;
    const event_log& log;
    counters& metrics;
    std::shared_ptr<const fleet_configuration> configuration;
    member_hub hub;
    coordinator_link link;
    order_relay relay; ///< executes orders for the coordinator in another process
    snapshot_send_policy snapshots;
    relayed_orders orders; ///< sends orders while this process coordinates
    leadership election;
    std::unique_ptr<coordinator> active_coordinator;
    /// Coordinator of an ended term; destroyed after its callbacks have returned.
    std::unique_ptr<coordinator> former_coordinator;
    timer former_coordinator_timer;
    lag_meter loop_lag;
    std::map<std::string, member_condition> member_conditions; ///< by VM
    /// Successive heartbeats in which the coordinator's VM says that it does not coordinate.
    int non_coordinating_heartbeats = 0;
    bool coordinator_ever_heard = false;
    strongest_vm_record strongest_record;
    vm_fitness strongest_stored;   ///< as last written by this process
    commit_chain* chain = nullptr; ///< while coordinating
    /// The value of member_greeting::certain in the coordinator's last heartbeat.
    bool coordinator_lease_certain = true;
    milliseconds last_role_change{0}; ///< time since boot of the election or start of a hand-over
    timer hand_over_timer;
    timer join_timer;
    std::vector<pending_call> pending_calls;
    timer retry_timer;
    std::minstd_rand retry_random{std::random_device{}()}; ///< spreads the retries of callers
    bool retired = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace verbenalever
