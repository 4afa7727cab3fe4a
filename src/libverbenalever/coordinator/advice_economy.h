#pragma once

#include "coordinator/advisor_question_policy.h"

#include <cstddef>
#include <cstdint>

namespace verbenalever {

struct queue_definition;

/// Decides how many targets a question to the advisor names at least. Has no state but the policy.
///
/// Load pattern: steps of a full fleet ask about a few targets again and again, because others take
/// the capacity of those that were granted. The base time of these questions then takes most of the
/// advisor's time, and steps that know no target find no VM to ask.
class advice_economy {
public:
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

private:
    advisor_question_policy policy;
};

} // namespace verbenalever
