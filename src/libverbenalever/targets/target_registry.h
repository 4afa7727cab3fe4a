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

/// The targets of this entry's zone, what is reserved on each, and where a start is allowed.
class target_registry {
public:
    target_registry(const configuration_store& configuration, std::string availability_zone);

    /// Take in the platform's list of VMs.
    void update(std::span<const vm_record> vms);

    /// @return the target, or null
    [[nodiscard]] target_record* find(std::string_view name);

    [[nodiscard]] std::map<std::string, target_record, std::less<>>& all();
    [[nodiscard]] const std::map<std::string, target_record, std::less<>>& all() const;

    /// @return whether new work may start on @p target at @p now: the lease is held, its inventory
    ///         is known, it is not leaving and its availability zone is in service
    [[nodiscard]] bool may_start(const target_record& target, monotonic_time now) const;

    /// Says whether a team may have more running on a target, e.g. by its upper limit.
    using start_guard = std::function<bool(const target_record& target, std::string_view team,
                                           const resources& demand)>;

    /// Set the guard that every new reservation has to pass.
    void set_start_guard(start_guard guard);

    /// Says whether work may be placed on a target that is sound as far as its lease goes.
    using health_filter = std::function<bool(const target_record& target)>;

    /// Set the filter that placement and free_slots() obey; empty for none.
    void set_health_filter(health_filter filter);

    /// Is told of each change of what a team has reserved here; negative amounts were given back.
    using use_listener = std::function<void(std::string_view team, const resources& change)>;

    /// Set who is told of changes of use.
    void set_use_listener(use_listener listener);

    /// @return whether some target on which starts were lately allowed has room for @p demand
    [[nodiscard]] bool has_room(const resources& demand) const;

    /// Choose a target with room and reserve the room, in one step.
    /// @param team whose work it is; empty on open queues
    /// @param work the request's id, or work_name() of a task's start; without it
    ///             the reservation can neither be told from others like it nor be in doubt
    /// @return the target's name; nothing when no target may take the work now
    [[nodiscard]] std::optional<std::string> place(placement_policy& policy, std::string_view team,
                                                   const resources& demand,
                                                   std::string_view work = {});

    /// Reserve room on one target.
    /// @return whether a start is allowed there now and there was room
    [[nodiscard]] bool claim(std::string_view target, std::string_view team,
                             const resources& demand, std::string_view work = {});

    /// Give room back, once the work has surely ended; changes nothing when none was reserved.
    void release(std::string_view target, std::string_view team, const resources& demand,
                 std::string_view work = {});

    /// Keep room for work that may still start or run, e.g. after a call that timed out, until
    /// the target is known not to run it.
    /// @param work the name under which the room was reserved
    void doubt(std::string_view target, std::string_view work);

    /// Say whether a piece of work may still run, or start, on a target, so that it must not be
    /// started elsewhere.
    ///
    /// Under a lease of this entry the inventory decides, since a start by anyone else would be
    /// refused. Otherwise only time does.
    /// @param epoch     of the lease under which this process sent the start; zero when another
    ///                  process did
    /// @param lapses_at when its task lease has lapsed if nobody renewed it: the last time at which
    ///                  a start or a renewal may have been sent, and the task lease after it
    [[nodiscard]] bool may_still_run(std::string_view target, std::string_view work,
                                     std::int64_t epoch, monotonic_time lapses_at,
                                     monotonic_time now) const;

    /// Note that the target was asked for its inventory under its present lease.
    static void begin_inventory(target_record& target);

    /// Take in the inventory asked for last: reservations of this entry stand, and work started by
    /// others is added.
    void take_inventory(target_record& target, const target_inventory& inventory);

    /// Be told of each inventory that replaced what was reserved.
    void on_inventory(
        std::function<void(const target_record& target, const target_inventory& inventory)> action);

    /// Be told when room may have come free.
    void on_room(std::function<void()> action);

    /// Ask anew about starts that were refused lately, e.g. after an upper limit was raised, and
    /// tell the listeners of on_room().
    void reconsider();

    /// Tell the listeners of on_room().
    void announce_room() const;

    /// @return free slots on the targets where starts are allowed
    [[nodiscard]] std::int64_t free_slots() const;

private:
    [[nodiscard]] bool admits(const target_record& target, std::string_view team,
                              const resources& demand, monotonic_time now) const;
    void reserve(target_record& target, std::string_view team, const resources& demand,
                 std::string_view work);
    void change_use(target_record& target, std::string_view team, const resources& change);
    [[nodiscard]] std::optional<std::size_t> choose(placement_policy& policy, std::string_view team,
                                                    const resources& demand);
    void forget_use(target_record& target);
    void rebuild_index();

    const configuration_store& configuration;
    std::string availability_zone;
    std::map<std::string, target_record, std::less<>> records;
    std::vector<std::function<void()>> room_listeners;
    std::function<void(const target_record&, const target_inventory&)> inventory_listener;
    start_guard guard;
    health_filter healthy;
    use_listener used;
    placement_index index;
    std::vector<target_record*> indexed; ///< by position in the index
    monotonic_time index_made;
    refusal_cache refusals;
    bool passed_over_unhealthy = false; ///< in the choice made last
};

} // namespace verbenalever
