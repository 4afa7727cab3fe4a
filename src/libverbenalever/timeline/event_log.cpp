#include "timeline/event_log.h"

#include "loop/clock.h"

#include <fmt/format.h>
#include <unistd.h>

#include <iterator>

namespace verbenalever {

namespace {

void append_escaped(std::string& out, std::string_view text)
{
    out += '"';
    for (const char character : text) {
        if (character == '"' || character == '\\')
            out += '\\';
        if (static_cast<unsigned char>(character) < 0x20)
            fmt::format_to(std::back_inserter(out), "\\u{:04x}", character);
        else
            out += character;
    }
    out += '"';
}

/// Appends the JSON form of each kind of field value.
struct value_writer {
    std::string& out;

    void operator()(std::string_view text) const
    {
        append_escaped(this->out, text);
    }
    void operator()(std::int64_t number) const
    {
        fmt::format_to(std::back_inserter(this->out), "{}", number);
    }
    void operator()(double number) const
    {
        fmt::format_to(std::back_inserter(this->out), "{:.6g}", number);
    }
    void operator()(bool flag) const
    {
        this->out += flag ? "true" : "false";
    }
};

void write_whole(std::string_view line)
{
    while (!line.empty()) {
        const auto written = ::write(STDERR_FILENO, line.data(), line.size());
        if (written <= 0)
            return; // nowhere left to report it
        line.remove_prefix(static_cast<std::size_t>(written));
    }
}

} // namespace

event_log::event_log(std::string process) : process(std::move(process)) {}

void event_log::write(std::string_view slice, std::string_view event,
                      std::initializer_list<event_field> fields) const
{
    std::string line;
    line.reserve(256);
    fmt::format_to(std::back_inserter(line),
                   "{{\"mono_us\":{},\"wall_us\":{},\"process\":", monotonic_microseconds(),
                   wall_microseconds());
    append_escaped(line, this->process);
    line += ",\"slice\":";
    append_escaped(line, slice);
    line += ",\"event\":";
    append_escaped(line, event);
    for (const auto& field : fields) {
        line += ',';
        append_escaped(line, field.name);
        line += ':';
        std::visit(value_writer{line}, field.value);
    }
    line += "}\n";
    write_whole(line);
}

} // namespace verbenalever
