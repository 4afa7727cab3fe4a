#include "config_verbs.h"

#include "access/key_digest.h"
#include "change_report.h"
#include "configuration/configuration_findings.h"
#include "configuration/configuration_merge.h"
#include "configuration/operator_configuration.h"
#include "exit_codes.h"
#include "flags.h"
#include "line_difference.h"
#include "live_targets.h"
#include "loop/unique_id.h"
#include "platform/configuration_decoder.h"
#include "session.h"
#include "settings/yaml_file.h"
#include "table.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <iterator>

namespace tool {

namespace {

using verbenalever::configuration_finding;
using verbenalever::configuration_source;

constexpr std::size_t key_bytes = 24;
constexpr std::int64_t microseconds_per_second = 1'000'000;

/// @return the file that is named by the argument @p index; an empty source without that argument
absl::StatusOr<configuration_source> read_source(std::span<const std::string> arguments,
                                                 std::size_t index)
{
    if (index >= arguments.size())
        return configuration_source{};
    auto text = verbenalever::read_file(arguments[index]);
    if (!text.ok())
        return text.status();
    return configuration_source{.file = arguments[index], .text = *std::move(text)};
}

/// The files BASE [OVERLAY] as they are. Each is read once, since it may be a pipe.
struct configuration_files {
    configuration_source base;
    configuration_source overlay; ///< empty: there is none
};

absl::StatusOr<configuration_files> read_files(std::span<const std::string> arguments)
{
    if (arguments.empty() || arguments.size() > 2)
        return absl::InvalidArgumentError("expected arguments: BASE [OVERLAY]");
    auto base = read_source(arguments, 0);
    if (!base.ok())
        return base.status();
    auto overlay = read_source(arguments, 1);
    if (!overlay.ok())
        return overlay.status();
    return configuration_files{*std::move(base), *std::move(overlay)};
}

/// @return the merged and validated configuration of the files BASE [OVERLAY]
absl::StatusOr<std::string> read_merged_configuration(std::span<const std::string> arguments)
{
    const auto files = read_files(arguments);
    if (!files.ok())
        return files.status();
    return verbenalever::merge_configuration(files->base, files->overlay);
}

/// @param current configuration as the entry answers it
/// @return the lines in which @p text differs; both are normalized, so that comments and whitespace
///         are no differences
std::string difference_from(const nlohmann::json& current, const std::string& text)
{
    return line_difference(normalized_yaml(current.value("text", "")), normalized_yaml(text));
}

int report_usage_error(const absl::Status& status)
{
    fmt::print(stderr, "{}\n", std::string(status.message()));
    return exit_usage;
}

void report_not_compared(std::string_view reason)
{
    fmt::print(stderr, "not compared with the version in force: {}\n", reason);
}

void report_targets_not_asked(std::string_view reason)
{
    fmt::print(stderr, "not checked against live targets: {}\n", reason);
}

void print_findings(std::string_view file, std::span<const configuration_finding> findings)
{
    for (const auto& finding : findings)
        fmt::print("{}: {}: {}\n", file, finding.path, finding.message);
}

/// @param differs whether the configuration differs from the version in force
int check_exit_code(std::span<const configuration_finding> findings, bool differs)
{
    using kind = configuration_finding::kind;
    if (contains_kind(findings, kind::never_matches))
        return exit_never_matches;
    if (contains_kind(findings, kind::contradictory_limits))
        return exit_contradiction;
    return differs ? exit_differs : exit_ok;
}

/// Why entries on the users' platform can be asked neither for the version in force nor for
/// targets.
constexpr std::string_view no_administration =
    "the entries of the users' platform have no administration";

/// @param files two documents of the users' platform, or one
/// @return the lines in which the first differs from the second; empty without a second.
///         INVALID_ARGUMENT when they cannot be compared
absl::StatusOr<std::string> platform_difference(const configuration_files& files)
{
    using namespace verbenalever::platform;
    const auto& [document, in_force] = files;
    if (in_force.file.empty())
        return std::string();
    if (!FLAGS_compare)
        return absl::InvalidArgumentError(
            "a second file beside a document of the users' platform: expected --compare");
    if (!is_configuration_document(in_force.text))
        return absl::InvalidArgumentError(
            fmt::format("{}: not a document of the users' platform", in_force.file));
    const auto before = list_members(in_force.text);
    const auto after = list_members(document.text);
    if (!before.ok() || !after.ok())
        return absl::InvalidArgumentError(
            fmt::format("{}: {}", before.ok() ? document.file : in_force.file,
                        std::string((before.ok() ? after : before).status().message())));
    return line_difference(*before, *after);
}

/// Check a document of the users' platform, and compare it with a second one if there is one.
int check_platform_document(const configuration_files& files)
{
    const auto& [document, in_force] = files;
    const auto configuration =
        verbenalever::platform::decode_configuration({.configuration = document.text});
    if (!configuration.ok())
        return report_usage_error(configuration.status());
    const auto difference = platform_difference(files);
    if (!difference.ok())
        return report_usage_error(difference.status());
    const auto findings =
        find_mistakes(*configuration, verbenalever::platform::decode_pools(document.text));
    print_findings(document.file, findings);
    const bool compared = !in_force.file.empty();
    if (findings.empty())
        fmt::print("{}: nothing found{}\n", document.file,
                   compared ? "" : "; not compared with the version in force");
    if (FLAGS_live_targets)
        report_targets_not_asked(no_administration);
    if (FLAGS_compare && !compared)
        report_not_compared(
            fmt::format("{}; give its document as the second file", no_administration));
    if (!difference->empty())
        fmt::print("# against {}\n{}", in_force.file, *difference);
    return check_exit_code(findings, !difference->empty());
}

/// Print what differs from the configuration that the entry has; a note when it cannot be asked.
/// @return whether anything differs
bool report_difference(session& current_session, const std::string& text)
{
    const auto result = current_session.call("GET", "/v1/admin/configuration");
    const auto current = nlohmann::json::parse(result.body, nullptr, /*allow_exceptions=*/false);
    if (!result.success() || !current.is_object()) {
        report_not_compared(describe_failure(result));
        return false;
    }
    const auto difference = difference_from(current, text);
    if (!difference.empty())
        fmt::print("# against revision {}\n{}", current.value("revision", 0), difference);
    return !difference.empty();
}

/// @return queues without targets; none when the targets cannot be asked, which is reported
std::vector<configuration_finding>
ask_for_queues_without_targets(session& current_session,
                               const verbenalever::operator_configuration& configuration)
{
    const auto targets = read_live_targets(current_session);
    if (targets.ok())
        return find_queues_without_targets(configuration, *targets);
    report_targets_not_asked(std::string(targets.status().message()));
    return {};
}

} // namespace

int run_config_check(session& current_session, std::span<const std::string> arguments)
{
    const auto files = read_files(arguments);
    if (!files.ok())
        return report_usage_error(files.status());
    if (verbenalever::platform::is_configuration_document(files->base.text))
        return check_platform_document(*files);
    const auto text = verbenalever::merge_configuration(files->base, files->overlay);
    if (!text.ok())
        return report_usage_error(text.status());
    const auto configuration = verbenalever::operator_configuration::parse(*text, arguments[0]);
    if (!configuration.ok())
        return report_usage_error(configuration.status());
    auto findings = find_mistakes(*configuration);
    if (FLAGS_live_targets)
        std::ranges::move(ask_for_queues_without_targets(current_session, *configuration),
                          std::back_inserter(findings));
    print_findings(arguments[0], findings);
    if (findings.empty())
        fmt::print("{}: the configuration is valid\n", arguments[0]);
    const bool differs = FLAGS_compare && report_difference(current_session, *text);
    return check_exit_code(findings, differs);
}

int run_config_show(session& current_session, std::span<const std::string>)
{
    const auto result = current_session.call("GET", "/v1/admin/configuration");
    if (!result.success())
        return report_failure(result);
    const auto configuration = nlohmann::json::parse(result.body);
    if (FLAGS_json) {
        fmt::print("{}\n", result.body);
        return exit_ok;
    }
    fmt::print("# revision {}\n", configuration.value("revision", 0));
    for (const auto& restriction : configuration["restrictions"])
        fmt::print("# in force, not yet stored: {} {}\n", restriction.value("kind", ""),
                   restriction.value("subject", ""));
    fmt::print("{}", configuration.value("text", ""));
    return exit_ok;
}

int run_config_diff(session& current_session, std::span<const std::string> arguments)
{
    const auto text = read_merged_configuration(arguments);
    if (!text.ok())
        return report_usage_error(text.status());
    const auto result = current_session.call("GET", "/v1/admin/configuration");
    if (!result.success())
        return report_failure(result);
    const auto current = nlohmann::json::parse(result.body);
    const auto difference = difference_from(current, *text);
    fmt::print("# against revision {}\n{}", current.value("revision", 0), difference);
    return difference.empty() ? exit_ok : exit_failed;
}

int run_config_history(session& current_session, std::span<const std::string>)
{
    const auto result = current_session.call("GET", "/v1/admin/configuration/history");
    if (!result.success())
        return report_failure(result);
    if (FLAGS_json) {
        fmt::print("{}\n", result.body);
        return exit_ok;
    }
    auto rows = nlohmann::json::parse(result.body)["revisions"];
    for (auto& row : rows) {
        const auto seconds = static_cast<std::time_t>(row.value("accepted_us", std::int64_t{0}) /
                                                      microseconds_per_second);
        row["accepted"] = fmt::format("{:%Y-%m-%dT%H:%M:%SZ}", fmt::gmtime(seconds));
    }
    constexpr std::array columns{column{"revision", "revision"}, column{"based on", "base"},
                                 column{"accepted", "accepted"}, column{"by", "by"}};
    print_table(columns, rows);
    return exit_ok;
}

int run_config_apply(session& current_session, std::span<const std::string> arguments)
{
    auto text = read_merged_configuration(arguments);
    if (!text.ok())
        return report_usage_error(text.status());
    if (FLAGS_base < 0) {
        const auto current = current_session.call("GET", "/v1/admin/configuration");
        if (!current.success())
            return report_failure(current);
        FLAGS_base = nlohmann::json::parse(current.body).value("revision", std::int64_t{0});
    }
    const auto result = send_change(current_session, "PUT", "configuration", *std::move(text));
    FLAGS_base = -1;
    return report_change(result);
}

int run_key_make(session&, std::span<const std::string>)
{
    const auto key = verbenalever::random_hex(key_bytes);
    fmt::print("key    {}\nsha256 {}\n", key, verbenalever::key_digest(key));
    return exit_ok;
}

} // namespace tool
