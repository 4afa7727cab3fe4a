#pragma once

#include "loop/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace verbenalever {

/// Measures how slow each target is against the others, from the requests that it answered.
///
/// Each answer counts relative to the mean of its queue, so that queues of long and short work can
/// be compared. Pure: the caller passes the time.
class target_slowness_tracker {
public:
    /// Note that a request was sent to a target.
    void request_sent(std::string_view target, monotonic_time now);

    /// Note that a request was answered. Failures are not to be told: failing is often fast.
    void request_answered(std::string_view target, std::string_view queue,
                          milliseconds response_time, monotonic_time now);

    /// Note that a request came to no good answer.
    void request_failed(std::string_view target);

    /// @return at the time last passed, the time that the target is expected to take against the
    /// mean of all, at least for
    ///         as long as it has been silent while requests are out; one when nothing is state
    [[nodiscard]] double slowness(std::string_view target) const;

private:
    struct target_state {
        double slowness = 1;
        double mean_seconds = 0;     ///< of its answers, to judge its silence by
        std::int64_t unanswered = 0; ///< requests sent and not answered
        monotonic_time silent_since;
    };

    [[nodiscard]] target_state& state_of(std::string_view target);

    std::map<std::string, target_state, std::less<>> states;
    std::map<std::string, double, std::less<>> mean_seconds_by_queue; ///< seconds
    monotonic_time latest_time;
};

} // namespace verbenalever
