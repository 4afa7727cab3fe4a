#pragma once

#include "timeline/trace_event.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace verbenalever {

/// Layout of a drawing of events: one lane for each process, in which runs that overlap in time
/// have separate rows.
class trace_lanes {
public:
    /// One run of a task or request.
    struct bar {
        std::int64_t start_us = 0;
        std::int64_t end_us = 0;
        std::size_t row = 0;
        std::string team;
        std::string title;
    };

    /// A fault or a change of state at one point in time.
    struct mark {
        std::int64_t at_us = 0;
        bool fault = false;
        std::string title;
    };

    /// The runs and marks of one process.
    struct lane {
        std::string process;
        std::vector<bar> bars;
        std::vector<mark> marks;
        std::size_t rows = 1;
    };

    /// @param events in order of time
    explicit trace_lanes(std::span<const trace_event> events);

    /// @return the lanes in order of the process names
    [[nodiscard]] const std::vector<lane>& all() const;

    [[nodiscard]] std::int64_t start_us() const;
    [[nodiscard]] std::int64_t span_us() const;

private:
    void begin_run(const trace_event& event, lane& process_lane);
    void end_run(const trace_event& event, lane& process_lane);
    void end_all_runs(lane& process_lane, std::int64_t at_us);

    std::vector<lane> lanes;
    std::map<std::string, std::size_t> running; ///< index of the bar, by process and work id
    std::int64_t first_us = 0;
    std::int64_t last_us = 0;
};

} // namespace verbenalever
