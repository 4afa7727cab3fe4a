#include "fleet_verbs.h"

#include "exit_codes.h"
#include "flags.h"
#include "session.h"

#include <fmt/format.h>

namespace tool {

int run_entries(session& state, std::span<const std::string>)
{
    const auto result = state.call("GET", "/v1/admin/entries");
    if (!result.success())
        return report_failure(result);
    if (FLAGS_json) {
        fmt::print("{}\n", result.body);
        return exit_ok;
    }
    fmt::print("{:<16}{:<16}{:<24}{:<8}{}\n", "entry", "zone", "http", "alive", "revision");
    const auto shown = nlohmann::json::parse(result.body);
    for (const auto& entry : shown["entries"])
        fmt::print("{:<16}{:<16}{:<24}{:<8}{}\n", entry.value("name", ""),
                   entry.value("availability_zone", ""), entry.value("http", ""),
                   entry.value("alive", false) ? "yes" : "no", entry.value("revision", 0));
    return exit_ok;
}

int run_targets(session& state, std::span<const std::string>)
{
    const auto result = state.call("GET", "/v1/admin/targets");
    if (!result.success())
        return report_failure(result);
    if (FLAGS_json) {
        fmt::print("{}\n", result.body);
        return exit_ok;
    }
    fmt::print("{:<16}{:<16}{:<12}{:<8}{:<8}{}\n", "target", "zone", "rack", "held", "starts",
               "slots used");
    const auto shown = nlohmann::json::parse(result.body);
    for (const auto& target : shown["targets"])
        fmt::print("{:<16}{:<16}{:<12}{:<8}{:<8}{}/{}\n", target.value("name", ""),
                   target.value("availability_zone", ""), target.value("rack", ""),
                   target.value("held", false) ? "yes" : "no",
                   target.value("may_start", false) ? "yes" : "no",
                   target["reserved"].value("slots", 0), target["capacity"].value("slots", 0));
    return exit_ok;
}

} // namespace tool
