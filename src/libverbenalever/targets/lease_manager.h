#pragma once

#include "loop/timer.h"
#include "targets/lease_response.h"
#include "targets/target_assignment.h"

#include <absl/status/statusor.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace verbenalever {

class counters;
class event_log;
class inventory_poller;
class peer_mesh;
class lease_arbiter;
class target_registry;
struct entry_settings;
struct lease_offer;
struct target_record;

/// Acquires and renews the leases of the targets that are assigned to this entry daemon, and
/// releases the others. A target that is assigned to this entry daemon but does not answer is
/// offered to the other entry daemons of the zone in turn.
///
/// The assignment of the zone's targets to its live entry daemons only says who requests a lease;
/// the arbiter grants it. The validity of a lease is counted from before its request was sent, so
/// that it expires at this entry daemon no later than at the arbiter. For each target at most one
/// lease request is in flight.
class lease_manager {
public:
    lease_manager(event_loop& loop, const entry_settings& settings, peer_mesh& mesh,
                  lease_arbiter& arbiter, inventory_poller& inventories, target_registry& registry,
                  counters& metrics, const event_log& log);

    void start();

    /// Recompute now which entry daemon each target is assigned to, e.g. after a peer joined or
    /// left.
    void update_assignment();

    /// Acquire no more leases and release all that are held, one group of targets at a time; each
    /// group is offered to the entry daemon that it is assigned to at that time.
    /// @param done called when the release of each target was answered or timed out
    void hand_over(std::function<void()> done);

private:
    using target_names = std::vector<std::string>;

    /// State of one target's lease requests.
    struct lease_state {
        monotonic_time next_request_at;
        bool in_flight = false;
        /// Request the lease, although the target is assigned to another entry daemon.
        bool offered_here = false;
        monotonic_time offered_at;
        /// The lease is not moved to the assigned entry daemon before this time, because that
        /// daemon cannot reach the target.
        monotonic_time keep_until;
        monotonic_time unanswered_since;   ///< no answer since then; set anew by each offer
        std::size_t offers_sent = 0;       ///< to other entry daemons, since the last answer
        std::function<void()> on_released; ///< set while a release is pending
    };

    void tick();
    [[nodiscard]] bool should_request_lease(const target_record& target, const lease_state& state,
                                            monotonic_time now) const;
    void request_lease(target_record& target, lease_state& state);
    void handle_response(const std::string& name, monotonic_time requested_at,
                         const absl::StatusOr<lease_response>& answer);
    void apply_grant(target_record& target, std::int64_t epoch, monotonic_time valid_until);
    [[nodiscard]] target_names find_misplaced_group(monotonic_time now) const;
    void move_misplaced_group();
    void release_group(const target_names& targets, std::function<void()> done);
    void release(target_record& target, std::function<void()> done);
    void send_release(target_record& target);
    void release_next_group();
    void handle_offer(const std::string& from, const lease_offer& offer);
    void offer_unreachable_target(const target_record& target, lease_state& state,
                                  monotonic_time now);

    const entry_settings& settings;
    peer_mesh& mesh;
    lease_arbiter& arbiter;
    inventory_poller& inventories;
    target_registry& registry;
    counters& metrics;
    const event_log& log;
    target_assignment assignment;
    monotonic_time assignment_since;
    std::map<std::string, lease_state, std::less<>> lease_states;
    bool moving_group = false;
    bool stopping = false;
    std::function<void()> on_all_released;
    timer tick_timer;
};

} // namespace verbenalever
