#pragma once

#include "timeline/event_field.h"

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>

namespace verbenalever {

/// Writes events as JSON lines to standard output; the log and the timeline are this one stream.
///
/// Each line has "mono_us" and "wall_us" (timestamps), "process", "slice", "event" and the fields
/// given. The "timeline" commands merge the lines of all processes.
class event_log {
public:
    /// @param process name of this process in the log
    /// @param lines_per_second maximum number of lines a second for each pair of slice and event;
    ///        further lines are suppressed, and the next line of the pair has their number. The
    ///        limit is per pair so that a frequent event does not suppress a rare one that reports
    ///        a failed request. 0: no limit, for logs that the trace checker verifies.
    explicit event_log(std::string process, int lines_per_second = 0);

    /// Write one event.
    /// @param slice part of the program that reports the event, e.g. "targets"
    /// @param event name of the event, e.g. "lease_acquired"
    /// @param fields further values; keys and bodies must not be logged
    void write(std::string_view slice, std::string_view event,
               std::initializer_list<event_field> fields = {}) const;

private:
    struct rate {
        std::int64_t second = 0;
        int lines = 0;
        std::int64_t suppressed = 0;
    };

    /// @return number of lines suppressed before this one; -1 when this line is to be suppressed
    std::int64_t admit(std::string_view slice, std::string_view event) const;

    std::string process;
    int lines_per_second;
    mutable std::map<std::string, rate, std::less<>> rates;
};

} // namespace verbenalever
