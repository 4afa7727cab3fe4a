#pragma once

#include "loop/clock.h"

#include <map>
#include <string>

namespace verbenalever {

class target_client;
class target_registry;
struct target_record;

/// Reads the inventories of the targets whose leases are held: once after each grant, often while
/// work that others started or that is in doubt takes room, and now and then otherwise.
class inventory_poller {
public:
    inventory_poller(target_client& client, target_registry& registry);

    /// Read the inventory of @p target now, unless that is under way.
    void read(target_record& target);

    /// Read the inventories that are due.
    void tick(monotonic_time now);

    /// @return whether only a new grant can settle what is in doubt on @p target: starts sent
    ///         under the present lease could still arrive
    [[nodiscard]] bool needs_newer_lease(const target_record& target, monotonic_time now) const;

    /// Note that a new grant is asked for; the next one waits a while.
    void record_newer_lease_request(const target_record& target, monotonic_time now);

private:
    /// When one target's inventory was read and is to be read.
    struct poll_state {
        monotonic_time next_read;
        monotonic_time pending_since;
        monotonic_time newer_lease_requested_at;
        bool in_flight = false;
    };

    void schedule_next_read(const target_record& target, monotonic_time now);

    target_client& client;
    target_registry& registry;
    std::map<std::string, poll_state, std::less<>> poll_states;
};

} // namespace verbenalever
