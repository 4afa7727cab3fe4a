#include "coordinator/crash_history.h"

#include <fmt/format.h>

#include <algorithm>

namespace verbenalever {

namespace {

/// Crashes after which a task is not started again if it was a suspect each time.
constexpr std::size_t max_suspect_crashes = 3;
/// The same if it was the only suspect in at least one of them.
constexpr std::size_t max_proven_crashes = 2;
/// The same including starts that were not confirmed, each of which may have been too late to
/// matter.
constexpr std::size_t max_possible_crashes = 4;
/// Crashes as a bystander after which the task may be one that crashes targets long after its
/// start.
constexpr std::size_t max_bystander_crashes = 3;

} // namespace

std::string_view evidence_name(crash_evidence evidence)
{
    switch (evidence) {
    case crash_evidence::bystander:
        return "bystander";
    case crash_evidence::unconfirmed:
        return "unconfirmed";
    case crash_evidence::suspect:
        return "suspect";
    case crash_evidence::sole_suspect:
        return "sole_suspect";
    }
    return "unconfirmed";
}

bool crash_history::add(const crash& added)
{
    const auto at = std::ranges::lower_bound(this->entries, added.run, {}, &crash::run);
    if (at == this->entries.end() || at->run != added.run) {
        this->entries.insert(at, added);
        return true;
    }
    if (at->evidence >= added.evidence)
        return false;
    *at = added;
    return true;
}

std::size_t crash_history::count(crash_evidence at_least) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->entries, [&](const crash& entry) { return entry.evidence >= at_least; }));
}

bool crash_history::is_suspect() const
{
    return this->count(crash_evidence::unconfirmed) > 0 ||
           this->entries.size() >= max_bystander_crashes;
}

bool crash_history::crashes_late() const
{
    return this->entries.size() - this->count(crash_evidence::unconfirmed) >= max_bystander_crashes;
}

bool crash_history::is_prime_suspect() const
{
    return this->count(crash_evidence::sole_suspect) > 0;
}

bool crash_history::is_culprit() const
{
    const auto suspect_crashes = this->count(crash_evidence::suspect);
    return suspect_crashes >= max_suspect_crashes ||
           this->count(crash_evidence::unconfirmed) >= max_possible_crashes ||
           (suspect_crashes >= max_proven_crashes && this->is_prime_suspect()) ||
           (this->crashes_late() && this->entries.back().evidence >= crash_evidence::suspect);
}

std::string crash_history::describe() const
{
    std::string text;
    for (const auto& [run, evidence, target, born_ms] : this->entries)
        text += fmt::format("{}run {} with {} ({}): {}", text.empty() ? "" : ", ", run,
                            target.empty() ? "a target" : target, born_ms, evidence_name(evidence));
    return text;
}

} // namespace verbenalever
