#pragma once

#include "scheduling/resources.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace verbenalever {

struct target_inventory;

/// The reservations on one target, which count each piece of work once.
///
/// There are four kinds: work that this entry daemon reserved under an id, work that it reserved
/// without one, unconfirmed starts (this entry daemon reserved the work and got no answer, so it
/// may run or its start may still arrive), and work that only the target's inventory shows, e.g.
/// started by an earlier holder of the lease. The id of a request's work is the request's id, that
/// of a task's start is task_start_id().
class target_reservations {
public:
    using team_sums = std::map<std::string, resources, std::less<>>;

    void reserve(std::string_view work, std::string_view team, const resources& demand);

    /// Remove a reservation whose work has certainly ended or will never start.
    /// @return whether there was such a reservation
    bool release(std::string_view work, std::string_view team, const resources& demand);

    /// Mark a reservation as unconfirmed: its work may still start or run. The reservation stays
    /// until an inventory that was read under another lease does not show the work.
    /// @param work  an id, not empty
    /// @param epoch of the lease under which the start was sent
    void mark_unconfirmed(std::string_view work, std::int64_t epoch);

    /// Record that an inventory read was sent to the target. Work that is released from now on may
    /// still be in that inventory and is then not counted.
    void begin_inventory_read();

    /// Update the reservations from the inventory that begin_inventory_read() announced last.
    /// @param epoch of the lease under which it was read
    void apply_inventory(const target_inventory& inventory, std::int64_t epoch);

    /// @return whether the last inventory showed @p work as running
    [[nodiscard]] bool was_running(std::string_view work) const;

    /// @return whether the next inventory may free capacity: there are unconfirmed starts or work
    ///         that only the inventory shows
    [[nodiscard]] bool may_free_capacity() const;

    /// @return whether there is an unconfirmed start that the last inventory does not show, so that
    ///         only a newer lease can rule out that it still arrives
    [[nodiscard]] bool has_unconfirmed_starts() const;

    [[nodiscard]] resources total() const;
    [[nodiscard]] team_sums by_team() const;

private:
    /// Capacity reserved for one piece of work.
    struct reservation {
        std::string team;
        resources demand;
        std::int64_t unconfirmed_epoch = 0; ///< lease epoch of an unconfirmed start

        friend bool operator==(const reservation&, const reservation&) = default;
    };
    using reservations_by_work = std::map<std::string, reservation, std::less<>>;

    /// Drop the unconfirmed starts that were sent under another lease than that of @p epoch and are
    /// not running.
    void drop_unconfirmed_not_running(std::int64_t epoch);
    [[nodiscard]] std::vector<const reservation*> all_reservations() const;

    reservations_by_work own;         ///< reserved by this entry daemon under an id
    std::vector<reservation> unnamed; ///< reserved by this entry daemon without an id
    reservations_by_work unconfirmed;
    reservations_by_work started_by_others; ///< shown by the last inventory only
    std::set<std::string, std::less<>> running_in_inventory;
    std::set<std::string, std::less<>> released_during_read;
    bool inventory_read_pending = false;
};

} // namespace verbenalever
