#pragma once

#include "timeline/event_field.h"

#include <initializer_list>
#include <string>
#include <string_view>

namespace verbenalever {

/// Writes events as JSON lines to standard error: the log and the time line are one stream.
///
/// Each line has "mono_us" and "wall_us" stamps, "process", "slice", "event" and the fields given.
/// The time line tool merges the lines of all processes.
class event_log {
public:
    /// @param process the name under which this process appears in the time line
    explicit event_log(std::string process);

    /// Write one event.
    /// @param slice the duty that reports it, e.g. "targets"
    /// @param event what happened, e.g. "lease_acquired"
    /// @param fields further values; keys and bodies never go here
    void write(std::string_view slice, std::string_view event,
               std::initializer_list<event_field> fields = {}) const;

private:
    std::string process;
};

} // namespace verbenalever
