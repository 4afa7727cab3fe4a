#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace verbenalever {

/// How strongly the crash of a target implicates a run that was on it.
enum class crash_evidence : std::uint8_t {
    bystander = 0,    ///< it ran there, but was not started shortly before the crash
    unconfirmed = 1,  ///< it may not have been there when the target crashed
    unanswered = 2,   ///< an order for it had no answer from a target that had just answered others
    suspect = 3,      ///< one of several workflows that may have caused the crash
    sole_suspect = 4, ///< no other workflow had been started there shortly before
};

/// @return the name of the evidence, for logs
[[nodiscard]] std::string_view evidence_name(crash_evidence evidence);

/// The crashes of targets under the runs of one task.
class crash_history {
public:
    struct crash {
        std::int64_t run = 0;
        crash_evidence evidence = crash_evidence::bystander;
        std::string target;       ///< empty when an earlier build stored the crash
        std::int64_t born_ms = 0; ///< the life of the target that crashed; 0: not known
    };

    /// Add a crash under a run. A run counts once; the strongest evidence is kept.
    /// @return whether this changed anything
    bool add(const crash& added);

    /// Remove the evidence of crashes just after the starts of runs before @p run: this one has
    /// outlived that time, so that the task does not crash its targets then.
    /// @return whether there was any
    bool discount(std::int64_t run);

    /// @return whether the task must start apart from other starts, so that another crash shows
    /// whether the task causes it
    [[nodiscard]] bool is_suspect() const;

    /// @return whether nothing else may start beside the task for as long as it runs: targets
    /// crashed under it repeatedly, but not soon after its start
    [[nodiscard]] bool crashes_late() const;

    /// @return whether a crash had the task as its only suspect
    [[nodiscard]] bool is_prime_suspect() const;

    /// @return whether the task causes the crashes, as far as can be known. Crashes without a proof
    /// that the task was there only isolate it, see is_suspect().
    [[nodiscard]] bool is_culprit() const;

    /// @return the crashes in words, for logs and the record of a workflow that failed
    [[nodiscard]] std::string describe() const;

    /// @return all crashes, by run
    [[nodiscard]] const std::vector<crash>& crashes() const
    {
        return this->entries;
    }

private:
    [[nodiscard]] std::size_t count(crash_evidence at_least) const;
    /// @return on how many different targets
    [[nodiscard]] std::size_t count_targets(crash_evidence at_least) const;

    std::vector<crash> entries; ///< sorted by run
};

} // namespace verbenalever
