#include "coordinator/crash_history.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <span>

namespace verbenalever {

namespace {

/// Crashes as a suspect after which a task is not started again.
constexpr std::size_t max_suspect_crashes = 3;
/// The same if it was the only suspect in at least one of them.
constexpr std::size_t max_proven_crashes = 2;
/// The same if no target has ever confirmed a start of it before a crash.
constexpr std::size_t max_unanswered_crashes = 3;
/// The same in any mixture, and if all were of one target, which may itself be at fault.
constexpr std::size_t max_mixed_crashes = 4;
/// Targets that must have crashed otherwise.
constexpr std::size_t min_crashed_targets = 2;
/// Crashes as a bystander after which the task may be one that crashes targets long after its
/// start.
constexpr std::size_t max_bystander_crashes = 3;
/// Further crashes after which such a task, which runs apart from others then, is not started
/// again.
constexpr std::size_t max_late_crashes = 2;

/// Latest crashes in a description.
constexpr std::size_t max_described_crashes = 8;

} // namespace

std::string_view evidence_name(crash_evidence evidence)
{
    switch (evidence) {
    case crash_evidence::bystander:
        return "bystander";
    case crash_evidence::unconfirmed:
        return "unconfirmed";
    case crash_evidence::unanswered:
        return "unanswered";
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

bool crash_history::discount(std::int64_t run)
{
    return std::erase_if(this->entries, [run](const crash& entry) {
               return entry.run < run && entry.evidence > crash_evidence::bystander;
           }) > 0;
}

std::size_t crash_history::count(crash_evidence at_least) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->entries, [&](const crash& entry) { return entry.evidence >= at_least; }));
}

std::size_t crash_history::count_targets(crash_evidence at_least) const
{
    std::set<std::string_view> targets;
    for (const auto& entry : this->entries) {
        if (entry.evidence >= at_least)
            targets.insert(entry.target);
    }
    return targets.size();
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
    const auto witnessed = this->count(crash_evidence::unanswered);
    if (witnessed >= max_mixed_crashes)
        return true;
    if (this->count_targets(crash_evidence::unanswered) < min_crashed_targets)
        return false;
    const auto as_suspect = this->count(crash_evidence::suspect);
    return as_suspect >= max_suspect_crashes ||
           (as_suspect == 0 && witnessed >= max_unanswered_crashes) ||
           (as_suspect >= max_proven_crashes && this->is_prime_suspect() &&
            this->count_targets(crash_evidence::suspect) >= min_crashed_targets) ||
           (as_suspect >= max_late_crashes && this->crashes_late());
}

std::string crash_history::describe() const
{
    std::string text;
    const auto omitted =
        this->entries.size() - std::min(this->entries.size(), max_described_crashes);
    for (const auto& [run, evidence, target, born_ms] : std::span(this->entries).subspan(omitted))
        text += fmt::format("{}run {} with {} ({}): {}", text.empty() ? "" : ", ", run,
                            target.empty() ? "a target" : target, born_ms, evidence_name(evidence));
    return omitted == 0 ? text : fmt::format("{} earlier ones, {}", omitted, text);
}

} // namespace verbenalever
