#pragma once

#include "coordinator/advisor_question_policy.h"
#include "loop/clock.h"

#include <cstddef>
#include <cstdint>

namespace verbenalever {

struct queue_definition;

/// Decides how many targets a question to the advisor names at least, and how long a step that
/// knows enough targets does not ask about others. Has no state but the policy.
///
/// Load pattern: steps of a full fleet ask about a few targets again and again, because others take
/// the capacity of those that were granted. The base time of these questions then takes most of the
/// advisor's time, and steps that know no target find no VM to ask.
class advice_economy {
public:
    /// The last question about a step for which the pause is computed.
    struct sent_question {
        milliseconds at{0}; ///< time since boot
        /// Expected time of the advisor for the question, or for its largest part; 0: none was
        /// sent, or it has had no answer.
        milliseconds time{0};
    };

    explicit advice_economy(advisor_question_policy policy) : policy(policy) {}

    /// @param gang whether the question is about a gang
    /// @return the number of targets that a question names at least if the step can name so many;
    ///         0: as many as should suffice
    [[nodiscard]] std::size_t least_targets(const queue_definition& queue, bool gang) const;

    /// @param targets             targets that a question about a gang names
    /// @param targets_in_parallel targets in each part that is efficient in parallel
    /// @return the number of parts beyond which the question is not divided
    [[nodiscard]] std::size_t max_parts(const queue_definition& queue, std::size_t targets,
                                        std::size_t targets_in_parallel) const;

    /// @return time since boot at which the pause after the question ends; 0: there is none
    [[nodiscard]] milliseconds pause_end(const sent_question& last) const;

    /// @param tasks_that_fit tasks that the usable targets that are allowed can hold when empty
    /// @param waiting        tasks of the step that wait
    /// @return whether the step waits for its pause before it asks about further targets
    [[nodiscard]] static bool knows_enough(std::uint64_t tasks_that_fit, std::uint32_t waiting);

private:
    advisor_question_policy policy;
};

} // namespace verbenalever
