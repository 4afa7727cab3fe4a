#pragma once

#include "timeline/event_field.h"

#include <cstdint>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>

namespace verbenalever {

/// Writes events as JSON lines to standard output: the log and the time line are one stream.
///
/// Each line has "mono_us" and "wall_us" stamps, "process", "slice", "event" and the fields given.
/// The time line tool merges the lines of all processes.
class event_log {
public:
    /// @param process the name under which this process appears in the time line
    /// @param lines_per_second lines of one kind of event written in a second; further ones are
    ///        counted, and the next line of the kind says how many. Each kind has its own bound, so
    ///        that no common event keeps back one that tells of a caller's loss. 0: no bound, for
    ///        time lines that are checked as a whole.
    explicit event_log(std::string process, int lines_per_second = 0);

    /// Write one event.
    /// @param slice the duty that reports it, e.g. "targets"
    /// @param event what happened, e.g. "lease_acquired"
    /// @param fields further values; keys and bodies never go here
    void write(std::string_view slice, std::string_view event,
               std::initializer_list<event_field> fields = {}) const;

private:
    struct rate {
        std::int64_t second = 0;
        int lines = 0;
        std::int64_t suppressed = 0;
    };

    /// @return how many lines of the kind were suppressed before this one; -1: this one is
    std::int64_t admit(std::string_view slice, std::string_view event) const;

    std::string process;
    int lines_per_second;
    mutable std::map<std::string, rate, std::less<>> rates;
};

} // namespace verbenalever
