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

/// Takes and renews the leases of the targets that fall to this entry, and gives back the others.
/// A target that this entry is named for and cannot reach is offered to the others in turn.
///
/// A division of the zone's targets among its live entries says who asks; the arbiter decides. A
/// lease counts from before the renewal was sent, so that it ends here no later than there. One
/// call for a lease is in flight for each target at a time.
class lease_manager {
public:
    lease_manager(event_loop& loop, const entry_settings& settings, peer_mesh& mesh,
                  lease_arbiter& arbiter, inventory_poller& inventories, target_registry& registry,
                  counters& metrics, const event_log& log);

    void start();

    /// Look at once at who is named for what, e.g. after a peer came or went.
    void update_assignment();

    /// Take no more leases and give back all that are held, one group at a time, each offered to
    /// the entry that is named for it then.
    /// @param done called when each target has answered or timed out
    void hand_over(std::function<void()> done);

private:
    using target_names = std::vector<std::string>;

    /// The call for one target's lease, in flight or due.
    struct lease_state {
        monotonic_time next_request_at;
        bool in_flight = false;
        bool offered_here = false; ///< ask although another entry is named
        monotonic_time offered_at;
        monotonic_time keep_until;         ///< not moved before: the entry named cannot reach it
        monotonic_time unanswered_since;   ///< no call was answered from then on
        std::size_t offers_sent = 0;       ///< made since then
        std::function<void()> on_released; ///< set while the lease is to be given back
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
