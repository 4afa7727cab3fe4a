#pragma once

#include "loop/clock.h"
#include "loop/endpoint.h"
#include "settings/yaml_problems.h"

#include <yaml-cpp/yaml.h>

#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace verbenalever {

/// Reads one YAML mapping with checks; each problem goes to the shared list, with line and path.
///
/// Every reader returns its fallback after a problem, so that reading goes on and finds the rest.
/// A setting without a fallback is required. Call finish() last: it reports names never asked for.
class yaml_mapping {
public:
    yaml_mapping(const YAML::Node& node, std::string path, yaml_problems& problems);

    [[nodiscard]] std::string text(std::string_view name,
                                   std::optional<std::string> fallback = std::nullopt);
    [[nodiscard]] std::int64_t integer(std::string_view name, std::int64_t minimum,
                                       std::int64_t maximum,
                                       std::optional<std::int64_t> fallback = std::nullopt);
    [[nodiscard]] double number(std::string_view name, double minimum, double maximum,
                                std::optional<double> fallback = std::nullopt);
    [[nodiscard]] bool flag(std::string_view name, std::optional<bool> fallback = std::nullopt);

    /// A time span with its unit: ms, s, m or h.
    [[nodiscard]] milliseconds duration(std::string_view name,
                                        std::optional<milliseconds> fallback = std::nullopt);

    /// An amount of memory with its unit: MB or GB.
    /// @return megabytes
    [[nodiscard]] std::int64_t megabytes(std::string_view name,
                                         std::optional<std::int64_t> fallback = std::nullopt);

    [[nodiscard]] endpoint address(std::string_view name);

    /// One of @p words.
    [[nodiscard]] std::string choice(std::string_view name,
                                     std::span<const std::string_view> allowed,
                                     std::optional<std::string> fallback = std::nullopt);

    [[nodiscard]] std::vector<std::string> texts(std::string_view name);

    /// Read a nested mapping; an absent one reads as empty.
    void child(std::string_view name, const std::function<void(yaml_mapping&)>& read);

    /// Read each entry of a nested mapping whose names are free.
    void each(std::string_view name,
              const std::function<void(const std::string& key, yaml_mapping&)>& read);

    /// Read each element of a sequence of mappings.
    void elements(std::string_view name, const std::function<void(yaml_mapping&)>& read);

    [[nodiscard]] bool has(std::string_view name) const;

    /// Report a problem with setting @p name.
    void report(std::string_view name, std::string_view message);

    /// Report every name that no reader asked for.
    void finish();

private:
    void report_duplicates();
    [[nodiscard]] std::optional<std::string> scalar(std::string_view name, bool required);
    [[nodiscard]] std::string path_of(std::string_view name) const;

    YAML::Node node;
    std::string path;
    yaml_problems& problems;
    std::set<std::string, std::less<>> known_names;
};

} // namespace verbenalever
