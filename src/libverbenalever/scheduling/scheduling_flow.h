#pragma once

#include "scheduling/queue_rules.h"
#include "scheduling/resources.h"
#include "scheduling/sequenced_work.h"

#include <string>

namespace verbenalever {

/// Waiting work of one team in one queue with one demand, by arrival.
///
/// A start filter answers alike for all of it, so asking about the first piece is enough.
struct scheduling_flow {
    std::string queue;
    std::string team;
    resources demand;
    queue_rules rules;
    work_list waiting;
};

} // namespace verbenalever
