#pragma once

#include "coordinator/waiting_work.h"
#include "loop/clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

namespace verbenalever {

/// Predicts how long a submission would wait, and refuses it when its result would come too late to
/// be of use. Also chooses when the caller of a refused submission should try again.
///
/// It errs on the side of accepting: it counts no more than the work that certainly goes first, it
/// refuses because of the predicted wait alone, and never because of a few workflows.
class admission_forecast {
public:
    /// A part of the system with its queue and its capacity.
    struct bottleneck {
        waiting_work::amount ahead;    ///< work that waits and goes before the submission
        std::int64_t capacity = 0;     ///< thousandths of a processor; 0: unlimited or not known
        std::int64_t used_by_them = 0; ///< part of capacity in use that the submission cannot take
    };

    /// What is known when a submission arrives.
    struct conditions {
        int priority = 0;
        milliseconds objective{0};      ///< latency objective; 0: none, never refused
        std::int64_t processors = 0;    ///< thousandths, of the tasks that can start first
        bottleneck team;                ///< capacity: limit of the team
        bottleneck fleet;               ///< capacity: usable targets of the pool
        waiting_work::amount questions; ///< that go before those of the submission
        std::size_t advisor_lines = 0; ///< questions that the advisor serves at a time; 0: not used
    };

    enum class cause { team, fleet, advisor };

    /// Why a submission is refused.
    struct refusal {
        cause why = cause::team;
        milliseconds wait{0};       ///< predicted
        milliseconds room_after{0}; ///< until a submission could be in time again
    };

    /// @return nothing when the submission is accepted
    [[nodiscard]] static std::optional<refusal> judge(const conditions& now);

    /// @return the predicted time until the work ahead has started; 0 when the submission can start
    /// at once, or when the capacity is not known
    [[nodiscard]] static milliseconds predict_wait(const bottleneck& at, std::int64_t processors);

    /// @param room_after from refusal
    /// @param spread     random number from 0 to less than 1, which spreads the return of callers
    /// @return delay before a retry in whole seconds, at least 1
    [[nodiscard]] static std::int64_t retry_after_refusal(int priority, milliseconds room_after,
                                                          double spread);

    /// The same while the store does not answer, or answers too slowly.
    /// @param backlog predicted wait behind the work that is known
    [[nodiscard]] static std::int64_t retry_after_stall(int priority, milliseconds backlog,
                                                        double spread);

    /// @return whether a workflow that would end @p late after its due time is of no use
    [[nodiscard]] static bool is_useless(milliseconds late, milliseconds objective);

    /// @return name of the cause in metrics and log lines
    [[nodiscard]] static std::string_view cause_name(cause why);
};

} // namespace verbenalever
