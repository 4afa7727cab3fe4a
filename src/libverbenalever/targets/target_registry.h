#pragma once

#include "platform/vm_record.h"
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

    /// @return whether new work may start on @p target at @p now: the lease is held, its inventory
    ///         is known, it is not leaving and its availability zone is in service
    [[nodiscard]] bool may_start(const target_record& target, monotonic_time now) const;

    /// Says whether a team may have more running on a target, e.g. by its upper limit.
    using start_guard = std::function<bool(const target_record& target, std::string_view team,
                                           const resources& demand)>;

    /// Set the guard that every new reservation has to pass.
    void set_start_guard(start_guard guard);

    /// Choose a target with room and reserve the room, in one step.
    /// @param team whose work it is; empty on open queues
    /// @return the target's name; nothing when no target may take the work now
    [[nodiscard]] std::optional<std::string> place(placement_policy& policy, std::string_view team,
                                                   const resources& demand);

    /// Reserve room on one target.
    /// @return whether a start is allowed there now and there was room
    [[nodiscard]] bool claim(std::string_view target, std::string_view team,
                             const resources& demand);

    /// Give room back, once the work has surely ended.
    void release(std::string_view target, std::string_view team, const resources& demand);

    /// Replace what is reserved on a target by what its inventory shows.
    void take_inventory(target_record& target, const target_inventory& inventory);

    /// Be told of each inventory that replaced what was reserved.
    void on_inventory(
        std::function<void(const target_record& target, const target_inventory& inventory)> action);

    /// Be told when room may have come free.
    void on_room(std::function<void()> action);

    /// Tell the listener of on_room().
    void announce_room() const;

    /// @return free slots on the targets where starts are allowed
    [[nodiscard]] std::int64_t free_slots() const;

private:
    [[nodiscard]] bool admits(const target_record& target, std::string_view team,
                              const resources& demand, monotonic_time now) const;
    static void reserve(target_record& target, std::string_view team, const resources& demand);

    const configuration_store& configuration;
    std::string availability_zone;
    std::map<std::string, target_record, std::less<>> records;
    std::vector<std::function<void()>> room_listeners;
    std::function<void(const target_record&, const target_inventory&)> inventory_listener;
    start_guard guard;
};

} // namespace verbenalever
