#include "coordinator/crash_progress.h"

#include <algorithm>
#include <array>
#include <utility>

namespace verbenalever {

namespace {

using ending = progress_entry::ending;
using evidence_code = std::pair<crash_evidence, ending>;

constexpr std::array codes{
    evidence_code{crash_evidence::bystander, ending::crashed_bystander},
    evidence_code{crash_evidence::unconfirmed, ending::crashed_unconfirmed},
    evidence_code{crash_evidence::unanswered, ending::crashed_unanswered},
    evidence_code{crash_evidence::suspect, ending::crashed_suspect},
    evidence_code{crash_evidence::sole_suspect, ending::crashed_sole_suspect},
};

} // namespace

progress_entry::ending crash_ending(crash_evidence evidence)
{
    const auto* const found = std::ranges::find(codes, evidence, &evidence_code::first);
    return found == codes.end() ? ending::other : found->second;
}

std::optional<crash_evidence> crash_evidence_of(const progress_entry& entry)
{
    const auto* const found =
        std::ranges::find(codes, static_cast<ending>(entry.how), &evidence_code::second);
    return found == codes.end() ? std::nullopt : std::optional(found->first);
}

} // namespace verbenalever
