#pragma once

#include "loop/timer.h"
#include "scheduling/usage_reporter.h"

#include <set>
#include <string>

namespace verbenalever {

class peer_mesh;
class share_ledger;

/// Sends the teams' usage on this entry daemon's targets to all peers and records theirs in the
/// ledger.
class usage_exchange {
public:
    /// @param interval between two messages to the same peer
    usage_exchange(event_loop& loop, peer_mesh& mesh, share_ledger& ledger, milliseconds interval);

    /// Begin to send periodically.
    void start();

private:
    void send_usage();

    peer_mesh& mesh;
    share_ledger& ledger;
    usage_reporter reporter;
    milliseconds interval;
    std::set<std::string, std::less<>> alive_peers; ///< at the last call of send_usage()
    timer send_timer;
};

} // namespace verbenalever
