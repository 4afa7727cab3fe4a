#pragma once

#include "loop/clock.h"
#include "scheduling/resources.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace verbenalever {

/// What is known about the end of a run.
struct run_outlook {
    milliseconds age{0};            ///< time since its start
    milliseconds predicted{0};      ///< learned duration; 0: not learned
    double percent = 0;             ///< percentage of its work that the last poll showed as done
    milliseconds age_at_percent{0}; ///< its age when it reached that percentage
};

/// A run, or a gang that ends as a whole, that would be stopped.
struct stop_candidate {
    milliseconds repeated{0}; ///< time that each member runs again after a stop
    std::int64_t processors_milli = 0;
    std::uint32_t members = 1; ///< of the gang that ends with the run, the run included
};

/// A step that would preempt runs.
struct preemptor_outlook {
    milliseconds time_left{0}; ///< until its workflow misses its objective
    milliseconds run_time{0};  ///< expected, from the start of the step to the end of its workflow
    /// Expected work of all tasks of the step, in thousandths of a processor times milliseconds.
    double work = 0;
};

/// Capacity of one target that becomes free as runs end.
struct capacity_forecast {
    struct run_end {
        milliseconds rest{0}; ///< time until the run is expected to end
        resources freed;
        std::size_t run = 0; ///< identifies the run to the caller
    };
    resources available;       ///< free, or about to be freed by runs that are being stopped
    std::vector<run_end> ends; ///< in the order of their rest
};

/// Expected ends of runs that make stops unnecessary.
struct awaited_ends {
    milliseconds wait{0};          ///< until the capacity of the last of them can be used
    std::vector<std::size_t> runs; ///< see capacity_forecast::run_end::run
};

/// Decides whether the preemption of runs pays: whether it helps the step that preempts, whether
/// waiting helps as much, and whether too much work would be lost.
///
/// It learns how long stops take. Until enough stops have been seen, no preemption is avoided for a
/// reason that depends on their duration.
class preemption_cost {
public:
    /// Adds the time from a stop order to the reported end of the run.
    void learn_stop(milliseconds took);

    /// @return mean duration of a stop; nothing until enough stops have ended
    [[nodiscard]] std::optional<milliseconds> stop_time() const;

    /// @return whether the step misses its objective even if stops that start now are short
    [[nodiscard]] bool too_late(const preemptor_outlook& step) const;

    /// @return how long the step may wait for ends of runs: as long as a stop would take, or so
    /// long that stops can still follow in time; 0 or less: it must not wait
    [[nodiscard]] milliseconds longest_wait(const preemptor_outlook& step) const;

    /// @return whether the run is expected to end within the time that its stop would take
    [[nodiscard]] bool ends_during_stop(const run_outlook& run) const;

    /// @return time until the run is expected to end; nothing when its duration is not known or it
    /// has lasted longer than predicted
    [[nodiscard]] static std::optional<milliseconds> expected_rest(const run_outlook& run);

    /// @return ends of runs after which @p tasks tasks are expected to fit, within @p longest;
    /// nothing when too few runs are expected to end
    [[nodiscard]] static std::optional<awaited_ends>
    find_ends(std::span<const capacity_forecast> targets, const resources& need,
              std::uint32_t tasks, milliseconds longest);

    /// @return work that is done again when the run is stopped, by its whole gang, in thousandths
    /// of a processor times milliseconds
    [[nodiscard]] static double lost_work(const stop_candidate& run);

    /// @return work that may be lost for the step, in the same unit
    [[nodiscard]] static double max_lost_work(const preemptor_outlook& step);

    /// @return whether a task whose runs were stopped this often is not stopped again
    [[nodiscard]] static bool stopped_too_often(std::uint32_t stops);

private:
    std::int64_t stops = 0;
    double mean_ms = 0;      ///< moving average of the duration of stops
    double deviation_ms = 0; ///< moving average of the absolute deviation from it
};

} // namespace verbenalever
