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

/// What is reserved on one target, each piece of work counted once.
///
/// Four kinds add up: work that this entry reserved under an identifier, work that it reserved
/// without one, work that is in doubt (its start may yet arrive), and work that only the target's
/// inventory shows, e.g. started by an earlier holder of the lease. The work's identifier is the
/// request's, or work_id() of a task's start.
class target_reservations {
public:
    using team_sums = std::map<std::string, resources, std::less<>>;

    void reserve(std::string_view work, std::string_view team, const resources& demand);

    /// Give a reservation back, once the work has surely ended.
    /// @return whether there was such a reservation
    bool release(std::string_view work, std::string_view team, const resources& demand);

    /// Keep a reservation whose work may still start or run, until an inventory read under a
    /// later lease than that of @p epoch does not show it.
    /// @param work an identifier, not empty
    void mark_unconfirmed(std::string_view work, std::int64_t epoch);

    /// Note that the target was asked for its inventory: what is released from now on may still
    /// show in it.
    void begin_inventory_read();

    /// Take in the inventory asked for last.
    /// @param epoch of the lease under which it was asked for
    void apply_inventory(const target_inventory& inventory, std::int64_t epoch);

    /// @return whether @p work was running when the inventory was last read
    [[nodiscard]] bool was_running(std::string_view work) const;

    /// @return whether the next inventory may free room: work in doubt or started by others
    [[nodiscard]] bool may_free_capacity() const;

    /// @return whether only a newer lease can settle what is in doubt
    [[nodiscard]] bool has_unconfirmed_starts() const;

    [[nodiscard]] resources total() const;
    [[nodiscard]] team_sums by_team() const;

private:
    /// Room taken by one piece of work.
    struct reservation {
        std::string team;
        resources demand;
        std::int64_t unconfirmed_epoch = 0; ///< epoch under which it came in doubt

        friend bool operator==(const reservation&, const reservation&) = default;
    };
    using reservations_by_work = std::map<std::string, reservation, std::less<>>;

    void drop_unconfirmed_not_running(std::int64_t epoch);
    [[nodiscard]] std::vector<const reservation*> all_reservations() const;

    reservations_by_work own;
    std::vector<reservation> unnamed;
    reservations_by_work unconfirmed;
    reservations_by_work started_by_others;
    std::set<std::string, std::less<>> running_in_inventory;
    std::set<std::string, std::less<>> released_during_read;
    bool inventory_read_pending = false;
};

} // namespace verbenalever
