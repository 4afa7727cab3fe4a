#pragma once

#include "loop/clock.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace verbenalever {

/// Finds targets that fail or stall what they are given, and limits them to probes. Pure: time
/// comes in as an argument.
///
/// A failure is held against a target only as far as the same source of work (a queue and team, a
/// job) fares better on the other targets, so a source that fails everywhere condemns none.
class target_health {
public:
    /// @return whether work may be placed on @p target: it is healthy, or due for a probe
    [[nodiscard]] bool accepts_work(std::string_view target, monotonic_time now) const;

    [[nodiscard]] bool on_probation(std::string_view target) const;

    /// Note that work was sent to @p target; on probation this is the probe.
    void record_start(std::string_view target, monotonic_time now);

    /// Note how one piece of work ended.
    /// @param source where the work came from
    /// @return whether the target went on probation or came off it
    bool record_end(std::string_view target, std::string_view source, bool failed,
                    monotonic_time now);

private:
    /// Decayed counts of one source's work on one target.
    struct result_counts {
        double ended = 0;
        double failed = 0;
    };

    /// One target's probation.
    struct probation {
        bool probing = false;
        monotonic_time probe_due;
        milliseconds interval{};
        int successes = 0;
    };

    using counts_by_target = std::map<std::string, result_counts, std::less<>>;

    void decay(monotonic_time now);
    bool record_probe_end(std::string_view target, bool failed, monotonic_time now);
    /// @return the failure rate of one source's work on the better of the other targets (lower
    ///         quartile), so that several sick targets do not excuse each other
    [[nodiscard]] static std::optional<double>
    baseline_failure_rate(const counts_by_target& by_target, std::string_view excluded_target);
    [[nodiscard]] bool is_unhealthy(std::string_view target) const;
    [[nodiscard]] bool may_limit_another() const;
    [[nodiscard]] std::size_t known_target_count() const;

    std::map<std::string, counts_by_target, std::less<>> by_source; ///< then by target
    std::map<std::string, probation, std::less<>> probations;
    monotonic_time decayed_at;
};

} // namespace verbenalever
