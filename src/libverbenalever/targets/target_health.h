#pragma once

#include "loop/clock.h"

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace verbenalever {

/// Detects targets on which work fails or times out and puts them on probation, where they get one
/// probe at a time. Reads no clock: time is passed as an argument.
///
/// Of a target's failures of work from one source (a queue and team), only those above the failure
/// rate of that source on the other targets count, so a source that fails everywhere puts no target
/// on probation.
class target_health {
public:
    /// @return whether work may be placed on @p target: it is not on probation, or a probe is due
    [[nodiscard]] bool accepts_work(std::string_view target, monotonic_time now) const;

    [[nodiscard]] bool on_probation(std::string_view target) const;

    /// Record that work was sent to @p target; on probation that work is the probe.
    void record_start(std::string_view target, monotonic_time now);

    /// Record the result of one piece of work.
    /// @param source identifies where the work came from, e.g. its queue and team
    /// @return whether the target was put on probation or taken off it
    bool record_end(std::string_view target, std::string_view source, bool failed,
                    monotonic_time now);

private:
    /// Exponentially decayed counts of the results of one source's work on one target.
    struct result_counts {
        double ended = 0;
        double failed = 0;
    };

    /// State of one target on probation.
    struct probation {
        bool probe_in_flight = false;
        monotonic_time probe_due;
        milliseconds interval{};
        int successes = 0;
    };

    using counts_by_target = std::map<std::string, result_counts, std::less<>>;

    void decay(monotonic_time now);
    bool record_probe_end(std::string_view target, bool failed, monotonic_time now);
    /// @return the lower quartile of one source's failure rates on the other targets, so that
    ///         several unhealthy targets do not raise the baseline; nothing without enough results
    [[nodiscard]] static std::optional<double>
    baseline_failure_rate(const counts_by_target& by_target, std::string_view excluded_target);
    [[nodiscard]] bool is_unhealthy(std::string_view target) const;
    /// @return whether at most half of the known targets would be on probation if one more were put
    ///         on it
    [[nodiscard]] bool may_put_another_on_probation() const;
    [[nodiscard]] std::size_t known_target_count() const;

    std::map<std::string, counts_by_target, std::less<>> counts_by_source; ///< source, then target
    std::map<std::string, probation, std::less<>> probations;
    monotonic_time decayed_at;
};

} // namespace verbenalever
