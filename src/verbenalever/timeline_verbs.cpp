#include "timeline_verbs.h"

#include "exit_codes.h"
#include "flags.h"
#include "timeline/trace_checker.h"
#include "timeline/trace_filter.h"
#include "timeline/trace_reader.h"
#include "timeline/trace_svg.h"
#include "timeline/trace_text.h"
#include "timeline/trace_waits.h"

#include <fmt/format.h>

#include <charconv>
#include <cstdio>
#include <optional>

namespace tool {

using verbenalever::milliseconds;
using verbenalever::trace_rules;

namespace {

/// @return the rules of --grace_ms and --limits ("TEAM=SLOTS,..."); nullopt if --limits is
/// malformed
std::optional<trace_rules> parse_trace_rules()
{
    trace_rules rules{.grace = milliseconds(FLAGS_grace_ms), .slot_limits = {}};
    std::string_view rest = FLAGS_limits;
    while (!rest.empty()) {
        const auto part = rest.substr(0, rest.find(','));
        rest.remove_prefix(std::min(part.size() + 1, rest.size()));
        const auto equals = part.find('=');
        if (equals == std::string_view::npos)
            return std::nullopt;
        std::int64_t slots = 0;
        const auto* end = part.data() + part.size();
        if (std::from_chars(part.data() + equals + 1, end, slots).ptr != end)
            return std::nullopt;
        rules.slot_limits.emplace(part.substr(0, equals), slots);
    }
    return rules;
}

using trace_formatter = std::string (*)(std::span<const verbenalever::trace_event>);

/// Read log files, select events by the filter flags and print them as @p format_trace formats
/// them.
int print_timeline(std::span<const std::string> files, trace_formatter format_trace)
{
    if (files.empty()) {
        fmt::print(stderr, "verbenalever: missing argument FILE\n");
        return exit_usage;
    }
    const auto events = verbenalever::read_trace(files);
    if (!events.ok()) {
        fmt::print(stderr, "{}\n", std::string(events.status().message()));
        return exit_usage;
    }
    const verbenalever::trace_filter filter{.job = FLAGS_job,
                                            .task = FLAGS_task,
                                            .request = FLAGS_request,
                                            .target = FLAGS_target,
                                            .team = FLAGS_team};
    fmt::print("{}", format_trace(filter.select(*events)));
    return exit_ok;
}

} // namespace

int run_timeline_show(session&, std::span<const std::string> arguments)
{
    return print_timeline(arguments, verbenalever::trace_text);
}

int run_timeline_svg(session&, std::span<const std::string> arguments)
{
    return print_timeline(arguments, verbenalever::trace_svg);
}

int run_timeline_waits(session&, std::span<const std::string> arguments)
{
    return print_timeline(arguments, verbenalever::trace_waits);
}

int run_timeline_check(session&, std::span<const std::string> arguments)
{
    const auto rules = parse_trace_rules();
    if (!rules || arguments.empty()) {
        fmt::print(stderr,
                   "verbenalever timeline check: at least one FILE is required, and --limits "
                   "must be TEAM=SLOTS,...\n");
        return exit_usage;
    }
    const auto events = verbenalever::read_trace(arguments);
    if (!events.ok()) {
        fmt::print(stderr, "{}\n", std::string(events.status().message()));
        return exit_usage;
    }
    verbenalever::trace_checker checker(*rules);
    const auto violations = checker.check(*events);
    for (const auto& violation : violations)
        fmt::print("{}\n", violation);
    fmt::print("{} events, {} starts, {} violations\n", events->size(), checker.starts(),
               violations.size());
    return violations.empty() ? exit_ok : exit_failed;
}

} // namespace tool
