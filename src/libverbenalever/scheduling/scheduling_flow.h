#pragma once

#include "scheduling/queue_rules.h"
#include "scheduling/resources.h"
#include "scheduling/sequenced_work.h"

#include <string>

namespace verbenalever {

/// Waiting work of one team in one queue with the same demand, in order of arrival.
///
/// A start filter gives the same answer for all work of a flow, so it is asked only about the
/// first.
struct scheduling_flow {
    std::string queue;
    std::string team;
    resources demand;
    queue_rules rules;
    work_list waiting;
};

} // namespace verbenalever
