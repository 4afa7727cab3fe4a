#pragma once

#include "timeline/trace_event.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace verbenalever {

/// Arranges events for drawing: lanes of processes, with runs packed into as few rows as they need.
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

    /// One moment worth seeing.
    struct mark {
        std::int64_t at_us = 0;
        bool fault = false;
        std::string title;
    };

    /// What one process did.
    struct lane {
        std::string process;
        std::vector<bar> bars;
        std::vector<mark> marks;
        std::size_t rows = 1;
    };

    /// @param events in order of time
    explicit trace_lanes(std::span<const trace_event> events);

    /// @return the lanes by name of their process
    [[nodiscard]] const std::vector<lane>& all() const;

    [[nodiscard]] std::int64_t start_us() const;
    [[nodiscard]] std::int64_t span_us() const;

private:
    void begin_run(const trace_event& event, lane& process_lane);
    void end_run(const trace_event& event, lane& process_lane);
    void end_all_runs(lane& process_lane, std::int64_t at_us);

    std::vector<lane> lanes;
    std::map<std::string, std::size_t> running; ///< index of its bar, by process and work
    std::int64_t first_us = 0;
    std::int64_t last_us = 0;
};

} // namespace verbenalever
