#pragma once

#include "limits/allotment_record.h"
#include "limits/allotted_target.h"

#include <map>
#include <optional>
#include <span>

namespace verbenalever {

/// What the planner needs to know to change one team's allotments on behalf of one entry daemon.
struct allotment_plan_input {
    resources limit;
    resources demand;                 ///< largest start that waits at this entry daemon; zero: none
    resources peer_demand;            ///< amount that another entry daemon requested; zero: none
    std::int64_t sharing_entries = 1; ///< entry daemons that share the limit, this one included
    bool cover_use_only = false;      ///< the limit is new: only raise amounts to current use
};

/// Compute the next version of a team's record. Has no side effects.
/// @param record the newest known version
/// @param held   the targets whose lease this entry daemon holds; other targets' amounts do not
///               change
/// @return the next version; nullopt when no amount would change
[[nodiscard]] std::optional<allotment_record> plan_allotments(const allotment_record& record,
                                                              std::span<const allotted_target> held,
                                                              const allotment_plan_input& request);

/// Compute caps on the use of the held targets while other entry daemons request part of the limit:
/// an entry daemon with more than its even share stops starting work in the excess, so that it can
/// be released.
/// @return caps by target; empty when this entry daemon has no more than its even share or no other
///         entry daemon requests any
[[nodiscard]] std::map<std::string, resources, std::less<>>
plan_ceilings(const allotment_record& record, std::span<const allotted_target> held,
              const allotment_plan_input& request);

} // namespace verbenalever
