#pragma once

#include "loop/clock.h"
#include "scheduling/resources.h"

namespace verbenalever {

/// Weight and usage of one team in the share ledger.
struct team_account {
    double weight = 1;
    resources local;             ///< in use on this entry daemon's targets
    resources remote;            ///< in use on the peers' targets, as they last reported
    double average_share = 0;    ///< exponential average of the dominant share up to average_time
    monotonic_time average_time; ///< of the last update of average_share
};

} // namespace verbenalever
