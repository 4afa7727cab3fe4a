#include "config_verbs.h"

#include "access/key_digest.h"
#include "configuration/operator_configuration.h"
#include "exit_codes.h"
#include "flags.h"
#include "loop/unique_id.h"
#include "session.h"
#include "settings/yaml_file.h"

#include <fmt/format.h>

#include <cstdio>

namespace tool {

namespace {

constexpr std::size_t key_bytes = 24;

absl::StatusOr<std::string> read_checked(std::span<const std::string> arguments)
{
    if (arguments.size() != 1)
        return absl::InvalidArgumentError("one FILE is needed");
    auto text = verbenalever::read_file(arguments[0]);
    if (!text.ok())
        return text.status();
    const auto checked = verbenalever::operator_configuration::parse(*text, arguments[0]);
    if (!checked.ok())
        return checked.status();
    return text;
}

} // namespace

int run_config_check(session&, std::span<const std::string> arguments)
{
    if (const auto text = read_checked(arguments); !text.ok()) {
        fmt::print(stderr, "{}\n", std::string(text.status().message()));
        return exit_usage;
    }
    fmt::print("{}: the configuration is valid\n", arguments[0]);
    return exit_ok;
}

int run_config_show(session& state, std::span<const std::string>)
{
    const auto result = state.call("GET", "/v1/admin/configuration");
    if (!result.success())
        return report_failure(result);
    const auto shown = nlohmann::json::parse(result.body);
    if (FLAGS_json)
        fmt::print("{}\n", result.body);
    else
        fmt::print("# revision {}\n{}", shown.value("revision", 0), shown.value("text", ""));
    return exit_ok;
}

int run_config_apply(session& state, std::span<const std::string> arguments)
{
    auto text = read_checked(arguments);
    if (!text.ok()) {
        fmt::print(stderr, "{}\n", std::string(text.status().message()));
        return exit_usage;
    }
    auto base = FLAGS_base;
    if (base < 0) {
        const auto present = state.call("GET", "/v1/admin/configuration");
        if (!present.success())
            return report_failure(present);
        base = nlohmann::json::parse(present.body).value("revision", std::int64_t{0});
    }
    const auto result = state.call("PUT", "/v1/admin/configuration", *std::move(text),
                                   {{"If-Match", fmt::format("{}", base)}});
    if (!result.success())
        return report_failure(result);
    fmt::print("revision {}\n", nlohmann::json::parse(result.body).value("revision", 0));
    return exit_ok;
}

int run_key_make(session&, std::span<const std::string>)
{
    const auto key = verbenalever::random_hex(key_bytes);
    fmt::print("key    {}\nsha256 {}\n", key, verbenalever::key_digest(key));
    return exit_ok;
}

} // namespace tool
