#pragma once

#include "loop/timer.h"

#include <functional>
#include <string>

namespace verbenalever {

class event_log;
class peer_mesh;
class target_client;
class target_registry;
struct entry_settings;
struct target_record;

/// Takes and renews the leases of the targets that fall to this entry.
///
/// Rendezvous hashing over the live entries of the zone says who asks; the target decides. A lease
/// counts from before the renewal was sent, so that it ends here no later than at the target.
class lease_keeper {
public:
    lease_keeper(event_loop& loop, const entry_settings& settings, peer_mesh& mesh,
                 target_client& client, target_registry& registry, const event_log& log);

    void start();

    /// Stop asking for leases and give back all that are held.
    /// @param done called when each target has answered or timed out
    void hand_over(std::function<void()> done);

private:
    void tick();
    void renew(target_record& target);
    void granted(const std::string& name, std::int64_t epoch, monotonic_time valid_until);
    void read_inventory(const std::string& name, std::int64_t epoch);

    const entry_settings& settings;
    peer_mesh& mesh;
    target_client& client;
    target_registry& registry;
    const event_log& log;
    timer renewal_timer;
};

} // namespace verbenalever
