#pragma once

#include "loop/clock.h"

#include <cstddef>
#include <deque>
#include <string>

namespace verbenalever {

/// The targets that were lost recently, to tell the crash of one from the loss of a whole zone or
/// rack.
class target_loss_log {
public:
    /// Loss of one target. Times are since boot.
    struct loss {
        std::string target;
        milliseconds last_answer_at{0}; ///< it was up at this time
        milliseconds noticed_at{0};     ///< it was lost by this time
    };

    /// Add a loss; a target that is noticed again keeps its first entry.
    void add(const loss& added);

    /// Remove the entry of a target that was only unreachable.
    void remove(const std::string& target);

    /// @return the recorded loss of a target, or null
    [[nodiscard]] const loss* find(const std::string& target) const;

    /// @return how many of the targets that @p in_group selects may have been lost at the same
    /// moment as @p other
    template <typename Predicate>
    [[nodiscard]] std::size_t count_simultaneous(const loss& other, Predicate in_group) const
    {
        std::size_t found = 0;
        for (const auto& entry : this->losses) {
            const bool overlaps = entry.last_answer_at <= other.noticed_at &&
                                  other.last_answer_at <= entry.noticed_at;
            found += overlaps && in_group(entry.target) ? 1 : 0;
        }
        return found;
    }

private:
    std::deque<loss> losses; ///< the last ones, oldest first
};

} // namespace verbenalever
