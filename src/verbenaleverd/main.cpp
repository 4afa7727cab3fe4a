// The entry daemon: reads its settings and runs the library's entry_daemon.

#include "settings/yaml_file.h"
#include "verbenalever/entry_daemon.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <cstdio>
#include <string>

DEFINE_string(settings, "", "YAML file with this daemon's settings (see docs/operators)");
DEFINE_bool(check, false, "check the settings and exit");

namespace {

constexpr int exit_bad_settings = 2;

absl::StatusOr<verbenalever::entry_settings> load_settings(const std::string& path)
{
    if (path.empty())
        return absl::InvalidArgumentError("--settings FILE is needed");
    const auto text = verbenalever::read_file(path);
    if (!text.ok())
        return text.status();
    return verbenalever::entry_settings::parse(*text, path);
}

} // namespace

int main(int argc, char** argv)
{
    gflags::SetVersionString(VERBENALEVER_VERSION);
    gflags::SetUsageMessage("verbenaleverd --settings FILE [--check]\n\n"
                            "Runs one entry of the cluster scheduler.");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    auto settings = load_settings(FLAGS_settings);
    if (!settings.ok()) {
        fmt::print(stderr, "{}\n", std::string(settings.status().message()));
        return exit_bad_settings;
    }
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
