#include "timeline/event_log.h"

#include "loop/clock.h"
#include "timeline/line_writer.h"

#include <fmt/format.h>
#include <unistd.h>

#include <iterator>
#include <utility>

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

/// @return the writer to standard output that all event logs of this process share
line_writer& standard_output()
{
    static line_writer writer(STDOUT_FILENO);
    return writer;
}

} // namespace

event_log::event_log(std::string process, int lines_per_second)
    : process(std::move(process)), lines_per_second(lines_per_second)
{
}

std::int64_t event_log::admit(std::string_view slice, std::string_view event) const
{
    if (this->lines_per_second == 0)
        return 0;
    const auto now = monotonic_microseconds() / 1'000'000;
    auto& event_rate = this->rates[std::string(slice) + '/' + std::string(event)];
    if (event_rate.second != now) {
        event_rate.second = now;
        event_rate.lines = 0;
    }
    if (++event_rate.lines > this->lines_per_second) {
        ++event_rate.suppressed;
        return -1;
    }
    return std::exchange(event_rate.suppressed, 0);
}

void event_log::write(std::string_view slice, std::string_view event,
                      std::initializer_list<event_field> fields) const
{
    const auto suppressed = this->admit(slice, event);
    if (suppressed < 0)
        return;
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
    if (suppressed > 0)
        fmt::format_to(std::back_inserter(line), ",\"suppressed\":{}", suppressed);
    line += "}\n";
    standard_output().write(line);
}

} // namespace verbenalever
