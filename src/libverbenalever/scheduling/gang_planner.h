#pragma once

#include "scheduling/gang_assignment.h"
#include "scheduling/gang_target.h"

#include <optional>
#include <span>
#include <vector>

namespace verbenalever {

/// Choose assignments for all tasks of a gang, or none.
///
/// Takes the targets that hold the most tasks, and for the last tasks the tightest one, so that few
/// holders have to be asked. Whoever reserves must ask in the order returned and give up everything
/// at the first refusal: a gang is then refused only by one that is further on in that order, so
/// that of any number of gangs at least one succeeds, however late the others give back.
///
/// @param targets targets on which starts are allowed, of any holder
/// @param demand of each task
/// @return assignments in the order of the targets' names; nothing when not all tasks fit
[[nodiscard]] std::optional<std::vector<gang_assignment>>
plan_gang(std::span<const gang_target> targets, const resources& demand, std::int64_t tasks);

} // namespace verbenalever
