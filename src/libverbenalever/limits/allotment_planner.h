#pragma once

#include "limits/allotment_record.h"
#include "limits/allotted_target.h"

#include <map>
#include <optional>
#include <span>

namespace verbenalever {

/// What one entry wants of a team's allotments.
struct allotment_request {
    resources limit;
    resources demand;         ///< room for at least one start of this size; zero for none
    resources give_up;        ///< what other entries lack; zero for nothing
    std::int64_t entries = 1; ///< entries that want the limit, this one included
    bool cover_only = false;  ///< the limit is new: first account for what runs already
};

/// Decide the next version of a team's record. Pure.
/// @param record the newest version known
/// @param held   the targets that this entry holds; the amounts of others stay as they are
/// @return the next version, or nothing when there is nothing to gain from a write
[[nodiscard]] std::optional<allotment_record> plan_allotments(const allotment_record& record,
                                                              std::span<const allotted_target> held,
                                                              const allotment_request& request);

/// Decide to what the use of the held targets is bound while others lack room: an entry that has
/// more than its even portion of the limit lets the excess come free.
/// @return ceilings by target; empty when this entry has no more than its portion
[[nodiscard]] std::map<std::string, resources, std::less<>>
plan_ceilings(const allotment_record& record, std::span<const allotted_target> held,
              const allotment_request& request);

} // namespace verbenalever
