#pragma once

#include <concepts>
#include <cstdint>
#include <string_view>
#include <variant>

namespace verbenalever {

/// One named value of an event. Text is not copied: use it only as an argument of a call.
struct event_field {
    std::string_view name;
    std::variant<std::string_view, std::int64_t, double, bool> value;

    event_field(std::string_view name, std::string_view text) : name(name), value(text) {}
    event_field(std::string_view name, const char* text) : name(name), value(std::string_view(text))
    {
    }
    event_field(std::string_view name, double number) : name(name), value(number) {}
    event_field(std::string_view name, std::same_as<bool> auto flag) : name(name), value(flag) {}
    template <std::integral Integer>
    requires(!std::same_as<Integer, bool>) event_field(std::string_view name, Integer number)
        : name(name), value(static_cast<std::int64_t>(number))
    {
    }
};

} // namespace verbenalever
