#pragma once

#include "loop/clock.h"

#include <map>
#include <string>

namespace verbenalever {

class target_client;
class target_registry;
struct target_record;

/// Polls the inventories of the targets whose leases this entry daemon holds: once after each grant
/// of a new lease, often while capacity is reserved for unconfirmed starts or for work that other
/// entry daemons started, and rarely otherwise.
class inventory_poller {
public:
    inventory_poller(target_client& client, target_registry& registry);

    /// Read the inventory of @p target now, unless a read is in flight.
    void read(target_record& target);

    /// Read the inventories whose next read is due. Called periodically.
    void tick(monotonic_time now);

    /// @return whether a new lease of @p target has to be requested to resolve unconfirmed starts
    ///         there: until a new lease is granted, starts sent under the present one may still
    ///         arrive. False for a second after record_newer_lease_request().
    [[nodiscard]] bool needs_newer_lease(const target_record& target, monotonic_time now) const;

    /// Record that a new lease is being requested, to limit how often that is done.
    void record_newer_lease_request(const target_record& target, monotonic_time now);

private:
    /// Polling state of one target.
    struct poll_state {
        monotonic_time next_read;
        /// Since when the target has reservations that the next inventory may free; the default
        /// time when it has none.
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
