#pragma once

#include "loop/timer.h"
#include "scheduling/usage_reporter.h"

#include <set>
#include <string>

namespace verbenalever {

class peer_mesh;
class share_ledger;

/// Tells peers the teams' use on this entry's targets and takes in theirs.
class usage_exchange {
public:
    /// @param interval time between two messages
    usage_exchange(event_loop& loop, peer_mesh& mesh, share_ledger& ledger, milliseconds interval);

    /// Begin to send.
    void start();

private:
    void send_usage();

    peer_mesh& mesh;
    share_ledger& ledger;
    usage_reporter reporter;
    milliseconds interval;
    std::set<std::string, std::less<>> alive_peers; ///< peers that were alive at the last tick
    timer send_timer;
};

} // namespace verbenalever
