#pragma once

#include "scheduling/placement_index.h"
#include "scheduling/refusal_cache.h"
#include "store/vm_record.h"
#include "targets/target_record.h"

#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace verbenalever {

class configuration_store;
class placement_policy;
struct target_inventory;

/// The targets of this entry daemon's zone, the reservations on each, and whether work may start
/// there.
class target_registry {
public:
    target_registry(const configuration_store& configuration, std::string availability_zone);

    /// Update the targets from the platform's list of VMs. A target that is no longer listed is
    /// removed once its lease is not held.
    void update(std::span<const vm_record> vms);

    /// @return the target, or null
    [[nodiscard]] target_record* find(std::string_view name);

    [[nodiscard]] std::map<std::string, target_record, std::less<>>& all();
    [[nodiscard]] const std::map<std::string, target_record, std::less<>>& all() const;

    /// @return whether new work may start on @p target at @p now: the lease is held, its inventory
    ///         is known, the platform does not list it as leaving, and its availability zone is in
    ///         service
    [[nodiscard]] bool may_start(const target_record& target, monotonic_time now) const;

    /// Predicate: whether a team may start more work on a target, e.g. within its upper limit.
    using start_guard = std::function<bool(const target_record& target, std::string_view team,
                                           const resources& demand)>;

    /// Set the predicate that has to be true for each new reservation.
    void set_start_guard(start_guard guard);

    /// Predicate: whether the health of a target on which may_start() is true allows more work.
    using health_filter = std::function<bool(const target_record& target)>;

    /// Set the filter that place(), try_reserve() and free_slots() apply; empty for none.
    void set_health_filter(health_filter filter);

    /// Called for each change of a team's reservations on all targets of this registry; @p change
    /// is negative when capacity was released.
    using usage_listener = std::function<void(std::string_view team, const resources& change)>;

    /// Set the callback for changes of the teams' usage.
    void set_usage_listener(usage_listener listener);

    /// @return whether some target has the free capacity for @p demand, of those on which starts
    ///         were allowed when the placement index was last built
    [[nodiscard]] bool has_capacity(const resources& demand) const;

    /// Choose a target with enough free capacity and reserve the capacity @p demand on it.
    /// @param team that the work belongs to; empty for work without a key, from a queue that
    ///             accepts such work (queue_configuration::open)
    /// @param work the request's id, or the task_start_id() of a task; without it the
    ///             reservation cannot be distinguished from others of the same team and demand, and
    ///             mark_unconfirmed() cannot be called for it
    /// @return the target's name; nothing when the work may start on no target now
    [[nodiscard]] std::optional<std::string> place(placement_policy& policy, std::string_view team,
                                                   const resources& demand,
                                                   std::string_view work = {});

    /// Reserve capacity on one target.
    /// @return whether it was reserved: a start is allowed there now and the capacity was free
    [[nodiscard]] bool try_reserve(std::string_view target, std::string_view team,
                                   const resources& demand, std::string_view work = {});

    /// Release the reservation of work that has certainly ended or will never start. Without such a
    /// reservation none is changed; the listeners of on_capacity_freed() are called in both cases.
    void release(std::string_view target, std::string_view team, const resources& demand,
                 std::string_view work = {});

    /// Mark a reservation as unconfirmed, e.g. after a call that timed out: the work may still
    /// start or run. The capacity stays reserved until the target is known not to run the work.
    /// @param work the id under which the capacity was reserved
    void mark_unconfirmed(std::string_view target, std::string_view work);

    /// @return whether a piece of work may still run, or start, on a target, so that it must not be
    ///         started on another one
    ///
    /// While this entry daemon holds the target's lease, the inventory decides, since the target
    /// refuses starts by other entry daemons. Otherwise the work may run until @p lapses_at.
    /// @param epoch     of the lease under which this process sent the start; zero when another
    ///                  process sent it
    /// @param lapses_at when the task lease expires at the latest unless it is renewed: the last
    ///                  time at which a start or a renewal may have been sent, plus the task lease
    [[nodiscard]] bool may_still_run(std::string_view target, std::string_view work,
                                     std::int64_t epoch, monotonic_time lapses_at,
                                     monotonic_time now) const;

    /// Record that an inventory read was sent to the target under its present lease.
    static void begin_inventory_read(target_record& target);

    /// Update the reservations on @p target from the inventory that was read last: this entry
    /// daemon's own ones stay unless their work has ended, and those of work started by others are
    /// replaced.
    void apply_inventory(target_record& target, const target_inventory& inventory);

    /// Set the callback for each inventory that was applied.
    void on_inventory(
        std::function<void(const target_record& target, const target_inventory& inventory)> action);

    /// Add a callback for when capacity may have become free.
    void on_capacity_freed(std::function<void()> action);

    /// Forget which demands could recently not be placed, e.g. after an upper limit was raised, and
    /// call the listeners of on_capacity_freed().
    void clear_refusals();

    /// Call the listeners of on_capacity_freed().
    void notify_capacity_freed() const;

    /// @return free slots on the targets where starts are allowed
    [[nodiscard]] std::int64_t free_slots() const;

private:
    [[nodiscard]] bool can_reserve(const target_record& target, std::string_view team,
                                   const resources& demand, monotonic_time now) const;
    void reserve(target_record& target, std::string_view team, const resources& demand,
                 std::string_view work);
    /// Add @p change to the sums of the target and of the team, and report it to the listener.
    void change_usage(target_record& target, std::string_view team, const resources& change);
    [[nodiscard]] std::optional<std::size_t>
    choose_position(placement_policy& policy, std::string_view team, const resources& demand);
    /// Set the sums of all teams on @p target to zero.
    void remove_all_usage(target_record& target);
    void rebuild_index();

    const configuration_store& configuration;
    std::string availability_zone;
    std::map<std::string, target_record, std::less<>> records;
    std::vector<std::function<void()>> capacity_listeners;
    std::function<void(const target_record&, const target_inventory&)> inventory_listener;
    start_guard guard;
    health_filter is_healthy;
    usage_listener on_usage_change;
    placement_index index;
    std::vector<target_record*> indexed; ///< by position in the index
    monotonic_time index_built_at;
    refusal_cache refusals;
    bool skipped_unhealthy = false; ///< during the last choose_position()
};

} // namespace verbenalever
