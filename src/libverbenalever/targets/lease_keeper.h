#pragma once

#include "loop/timer.h"
#include "targets/lease_answer.h"
#include "targets/target_division.h"

#include <absl/status/statusor.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace verbenalever {

class counters;
class event_log;
class inventory_keeper;
class peer_mesh;
class target_arbiter;
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
class lease_keeper {
public:
    lease_keeper(event_loop& loop, const entry_settings& settings, peer_mesh& mesh,
                 target_arbiter& arbiter, inventory_keeper& inventories, target_registry& registry,
                 counters& metrics, const event_log& log);

    void start();

    /// Look at once at who is named for what, e.g. after a peer came or went.
    void review();

    /// Take no more leases and give back all that are held, one group at a time, each offered to
    /// the entry that is named for it then.
    /// @param done called when each target has answered or timed out
    void hand_over(std::function<void()> done);

private:
    using group = std::vector<std::string>;

    /// The call for one target's lease, in flight or due.
    struct lease_call {
        monotonic_time due;
        bool in_flight = false;
        bool offered = false; ///< ask although another entry is named
        monotonic_time offered_at;
        monotonic_time kept_until;       ///< not moved before: the entry named cannot reach it
        monotonic_time unanswered_since; ///< no call was answered from then on
        std::size_t offers = 0;          ///< made since then
        std::function<void()> give_back; ///< set while the lease is to be given back
    };

    void tick();
    [[nodiscard]] bool wanted(const target_record& target, const lease_call& call,
                              monotonic_time now) const;
    void ask(target_record& target, lease_call& call);
    void answered(const std::string& name, monotonic_time asked,
                  const absl::StatusOr<lease_answer>& answer);
    void granted(target_record& target, std::int64_t epoch, monotonic_time valid_until);
    [[nodiscard]] group misplaced_group(monotonic_time now) const;
    void move_misplaced_group();
    void give_back_group(const group& targets, std::function<void()> done);
    void give_back(target_record& target, std::function<void()> done);
    void release(target_record& target);
    void give_back_next();
    void take_offer(const std::string& from, const lease_offer& offer);
    void offer_unreachable(const target_record& target, lease_call& call, monotonic_time now);

    const entry_settings& settings;
    peer_mesh& mesh;
    target_arbiter& arbiter;
    inventory_keeper& inventories;
    target_registry& registry;
    counters& metrics;
    const event_log& log;
    target_division division;
    monotonic_time division_since;
    std::map<std::string, lease_call, std::less<>> calls;
    bool moving_group = false;
    bool stopping = false;
    std::function<void()> stopped;
    timer tick_timer;
};

} // namespace verbenalever
