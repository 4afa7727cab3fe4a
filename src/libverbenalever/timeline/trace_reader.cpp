#include "timeline/trace_reader.h"

#include "settings/yaml_file.h"

#include <algorithm>
#include <sstream>

namespace verbenalever {

namespace {

void append_events(const std::string& text, std::vector<trace_event>& events)
{
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        auto json = nlohmann::json::parse(line, nullptr, false);
        if (!json.is_object() || !json.contains("event") || !json.contains("mono_us"))
            continue;
        trace_event event{.fields = std::move(json)};
        event.mono_us = event.number("mono_us");
        event.process = event.text("process");
        event.slice = event.text("slice");
        event.event = event.text("event");
        events.push_back(std::move(event));
    }
}

} // namespace

absl::StatusOr<std::vector<trace_event>> read_trace(std::span<const std::string> files)
{
    std::vector<trace_event> events;
    for (const auto& file : files) {
        const auto text = read_file(file);
        if (!text.ok())
            return text.status();
        append_events(*text, events);
    }
    std::ranges::stable_sort(events, {}, &trace_event::mono_us);
    return events;
}

} // namespace verbenalever
