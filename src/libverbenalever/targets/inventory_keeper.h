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
class inventory_keeper {
public:
    inventory_keeper(target_client& client, target_registry& registry);

    /// Read the inventory of @p target now, unless that is under way.
    void read(target_record& target);

    /// Read the inventories that are due.
    void tick(monotonic_time now);

    /// @return whether only a new grant can settle what is in doubt on @p target: starts sent
    ///         under the present lease could still arrive
    [[nodiscard]] bool needs_newer_lease(const target_record& target, monotonic_time now) const;

    /// Note that a new grant is asked for; the next one waits a while.
    void asked_newer_lease(const target_record& target, monotonic_time now);

private:
    /// When one target's inventory was read and is to be read.
    struct reading {
        monotonic_time due;
        monotonic_time unsettled_since;
        monotonic_time fenced;
        bool in_flight = false;
    };

    void plan_next(const target_record& target, monotonic_time now);

    target_client& client;
    target_registry& registry;
    std::map<std::string, reading, std::less<>> readings;
};

} // namespace verbenalever
