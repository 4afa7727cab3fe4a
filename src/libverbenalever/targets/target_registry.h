#pragma once

#include "platform/vm_record.h"
#include "scheduling/placement_index.h"
#include "scheduling/refusal_memory.h"
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

    /// Is told of each change of what a team has reserved here; negative amounts were given back.
    using use_listener = std::function<void(std::string_view team, const resources& change)>;

    /// Set who is told of changes of use.
    void set_use_listener(use_listener listener);

    /// @return whether some target on which starts were lately allowed has room for @p demand
    [[nodiscard]] bool has_room(const resources& demand) const;

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

    /// Be told when room may have come free.
    void on_room(std::function<void()> action);

    /// Tell the listener of on_room().
    void announce_room() const;

    /// @return free slots on the targets where starts are allowed
    [[nodiscard]] std::int64_t free_slots() const;

private:
    [[nodiscard]] bool admits(const target_record& target, std::string_view team,
                              const resources& demand, monotonic_time now) const;
    void reserve(target_record& target, std::string_view team, const resources& demand);
    void change_use(target_record& target, std::string_view team, const resources& change);
    [[nodiscard]] std::optional<std::size_t> choose(placement_policy& policy, std::string_view team,
                                                    const resources& demand);
    void forget_use(target_record& target);
    void rebuild_index();

    const configuration_store& configuration;
    std::string availability_zone;
    std::map<std::string, target_record, std::less<>> records;
    std::vector<std::function<void()>> room_listeners;
    start_guard guard;
    use_listener used;
    placement_index index;
    std::vector<target_record*> indexed; ///< by position in the index
    monotonic_time index_made;
    refusal_memory refusals;
};

} // namespace verbenalever
