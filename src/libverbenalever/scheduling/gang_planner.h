#pragma once

#include "scheduling/gang_assignment.h"
#include "scheduling/gang_target.h"

#include <optional>
#include <span>
#include <vector>

namespace verbenalever {

/// Assign all tasks of a gang to targets, or none.
///
/// Uses the targets that fit the most tasks, and the best fit for the last tasks, so that few lease
/// holders have to be asked. The caller must reserve in the order returned and release everything
/// at the first refusal. A gang can then be refused only because of another gang that has
/// already reserved on targets further on in this order, so that of any number of concurrent gangs
/// at least one succeeds, however late the others release their reservations.
///
/// @param targets on which starts are allowed, of any lease holder
/// @param demand of each task
/// @param tasks number of tasks
/// @return assignments in the order of the targets' names; nothing when not all tasks fit
[[nodiscard]] std::optional<std::vector<gang_assignment>>
plan_gang(std::span<const gang_target> targets, const resources& demand, std::int64_t tasks);

} // namespace verbenalever
