// The entry daemon: reads its settings and runs the library's entry_daemon.

#include "loop/crash_handler.h"
#include "platform/platform_daemon.h"
#include "settings/yaml_file.h"
#include "verbenalever/entry_daemon.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <cstdio>
#include <string>

DEFINE_string(settings, "", "YAML file with this daemon's settings (see docs/operators)");
DEFINE_bool(platform, false, "run on the users' platform, with its settings (see deploy/)");
DEFINE_bool(check, false, "check the settings and exit");

namespace {

constexpr int exit_bad_settings = 2;

absl::StatusOr<verbenalever::entry_settings> load_settings(const std::string& path)
{
    if (path.empty())
        return absl::InvalidArgumentError("--settings FILE is required");
    const auto text = verbenalever::read_file(path);
    if (!text.ok())
        return text.status();
    return verbenalever::entry_settings::parse(*text, path);
}

/// Print the problems of the settings to stderr.
/// @return the exit code
int report_invalid_settings(const absl::Status& status)
{
    fmt::print(stderr, "{}\n", std::string(status.message()));
    return exit_bad_settings;
}

int run_on_platform()
{
    using verbenalever::platform::platform_settings;
    const auto path = FLAGS_settings.empty() ? platform_settings::path_from_environment()
                                             : std::string(FLAGS_settings);
    const auto text = verbenalever::read_file(path);
    if (!text.ok())
        return report_invalid_settings(text.status());
    auto settings = platform_settings::parse(*text, path);
    if (!settings.ok())
        return report_invalid_settings(settings.status());
    if (FLAGS_check) {
        fmt::print("{}: the settings are valid\n", path);
        return 0;
    }
    verbenalever::platform::platform_daemon daemon(*std::move(settings), path);
    if (const auto status = daemon.run(); !status.ok()) {
        fmt::print(stderr, "{}\n", std::string(status.message()));
        return 1;
    }
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    // A crash writes its stack trace to stderr.
    verbenalever::install_crash_handler(argv[0]);
    gflags::SetVersionString(VERBENALEVER_VERSION);
    gflags::SetUsageMessage("verbenaleverd --settings FILE [--check]\n\n"
                            "Runs one entry of the cluster scheduler.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_platform)
        return run_on_platform();
    auto settings = load_settings(FLAGS_settings);
    if (!settings.ok())
        return report_invalid_settings(settings.status());
    if (FLAGS_check) {
        fmt::print("{}: the settings are valid\n", FLAGS_settings);
        return 0;
    }
    verbenalever::entry_daemon daemon(*std::move(settings));
    if (const auto status = daemon.run(); !status.ok()) {
        fmt::print(stderr, "{}\n", std::string(status.message()));
        return 1;
    }
    return 0;
}
