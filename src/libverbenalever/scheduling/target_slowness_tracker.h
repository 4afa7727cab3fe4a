#pragma once

#include "loop/clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace verbenalever {

/// Measures how slowly each target answers requests, compared with the other targets.
///
/// Each response time is divided by the mean of the request's queue, so that queues of long and
/// short work can be combined. Reads no clock: the caller passes the time.
class target_slowness_tracker {
public:
    /// Record that a request was sent to a target.
    void request_sent(std::string_view target, monotonic_time now);

    /// Record that a request was answered. Not to be called for failures, which are often fast and
    /// would make the target look fast.
    void request_answered(std::string_view target, std::string_view queue,
                          milliseconds response_time, monotonic_time now);

    /// Record that a request ended without a successful answer.
    void request_failed(std::string_view target);

    /// @return the target's mean response time relative to the mean of all targets; one if nothing
    ///         is known. Raised in proportion to the target's silence while requests to it are
    ///         unanswered and the silence exceeds several of its mean response times; silence is
    ///         measured up to the latest time that was passed.
    [[nodiscard]] double slowness(std::string_view target) const;

private:
    struct target_state {
        double slowness = 1;
        double mean_seconds = 0;     ///< mean response time, with which a silence is compared
        std::int64_t unanswered = 0; ///< requests sent and not answered
        /// Time of the last answer, or of the first request after all were answered.
        monotonic_time silent_since;
    };

    [[nodiscard]] target_state& state_of(std::string_view target);

    std::map<std::string, target_state, std::less<>> states;
    std::map<std::string, double, std::less<>> mean_seconds_by_queue; ///< response times
    monotonic_time latest_time;
};

} // namespace verbenalever
