#pragma once

#include "coordinator/run_length_model.h"
#include "loop/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace verbenalever {

struct placed_run;
struct task_name;

/// Why a run that may be preempted is not stopped with preemption_policy::least.
enum class avoided_stop : std::uint8_t {
    none,     ///< it may be stopped
    ending,   ///< it is expected to end within the time that its stop would take
    repeated, ///< runs of its task were stopped too often
};

/// Decides which runs are not stopped with preemption_policy::least, and learns how long stops
/// take.
class stop_avoidance {
public:
    using length_models = std::map<std::string, run_length_model, std::less<>>;

    /// @param run_lengths learned durations of runs, by queue; they outlive this object
    explicit stop_avoidance(const length_models& run_lengths);

    /// Adds the time from a stop order to the reported end of the run.
    void learn_stop(milliseconds took);

    /// @return mean duration of a stop; nothing until enough stops have been seen
    [[nodiscard]] std::optional<milliseconds> stop_time() const;

    /// @param placed a started run of an open workflow
    /// @param now    time since boot
    /// @return why the run is not stopped
    [[nodiscard]] avoided_stop judge(const placed_run& placed, const task_name& task,
                                     milliseconds now) const;

private:
    /// @return whether the run is expected to end within the time of a stop
    [[nodiscard]] bool ends_during_stop(const placed_run& placed, const task_name& task,
                                        milliseconds now) const;

    const length_models& run_lengths;
    std::int64_t stops = 0;
    double mean_ms = 0; ///< moving average of the durations of stops
};

} // namespace verbenalever
