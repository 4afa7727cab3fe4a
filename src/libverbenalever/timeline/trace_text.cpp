#include "timeline/trace_text.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <iterator>
#include <string_view>

namespace verbenalever {

namespace {

constexpr double microseconds_per_millisecond = 1000;
constexpr std::array<std::string_view, 5> leading_fields{"mono_us", "wall_us", "process", "slice",
                                                         "event"};

std::string format_fields(const trace_event& event)
{
    std::string text;
    for (const auto& [name, value] : event.fields.items()) {
        if (std::ranges::find(leading_fields, std::string_view(name)) != leading_fields.end())
            continue;
        const auto value_text =
            value.is_string()
                ? value.get<std::string>()
                : value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        text += fmt::format(" {}={}", name, value_text);
    }
    return text;
}

} // namespace

std::string trace_text(std::span<const trace_event> events)
{
    std::string text;
    for (const auto& event : events) {
        const auto elapsed_us = static_cast<double>(event.mono_us - events.front().mono_us);
        fmt::format_to(std::back_inserter(text), "{:>12.3f} ms  {:<14}{:<15}{}{}\n",
                       elapsed_us / microseconds_per_millisecond, event.process, event.slice,
                       event.event, format_fields(event));
    }
    return text;
}

} // namespace verbenalever
