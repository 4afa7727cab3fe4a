#pragma once

#include "loop/clock.h"
#include "scheduling/resources.h"

namespace verbenalever {

/// What the share ledger knows about one team.
struct team_account {
    double weight = 1;
    resources local;          ///< taken on this entry's targets
    resources remote;         ///< taken on the peers' targets, as they last told
    double average_share = 0; ///< dominant share, averaged over the ledger's memory up to `counted`
    monotonic_time average_time;
};

} // namespace verbenalever
