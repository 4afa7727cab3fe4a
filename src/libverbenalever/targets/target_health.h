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
    [[nodiscard]] bool admits(std::string_view target, monotonic_time now) const;

    [[nodiscard]] bool on_probation(std::string_view target) const;

    /// Note that work was sent to @p target; on probation this is the probe.
    void started(std::string_view target, monotonic_time now);

    /// Note how one piece of work ended.
    /// @param source where the work came from
    /// @return whether the target went on probation or came off it
    bool ended(std::string_view target, std::string_view source, bool failed, monotonic_time now);

private:
    /// Decayed counts of one source's work on one target.
    struct tally {
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

    using tallies = std::map<std::string, tally, std::less<>>;

    void decay(monotonic_time now);
    bool probe_ended(std::string_view target, bool failed, monotonic_time now);
    /// @return the failure rate of one source's work on the better of the other targets (lower
    ///         quartile), so that several sick targets do not excuse each other
    [[nodiscard]] static std::optional<double> usual_failure_rate(const tallies& by_target,
                                                                  std::string_view except);
    [[nodiscard]] bool is_sick(std::string_view target) const;
    [[nodiscard]] bool may_be_withdrawn() const;
    [[nodiscard]] std::size_t known_targets() const;

    std::map<std::string, tallies, std::less<>> by_source; ///< then by target
    std::map<std::string, probation, std::less<>> probations;
    monotonic_time decayed_at;
};

} // namespace verbenalever
