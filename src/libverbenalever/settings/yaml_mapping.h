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

/// Reads and validates one YAML mapping; adds each problem, with line and path, to a shared list.
///
/// After a problem a function that reads a setting returns the fallback, or a default value when
/// there is none, so that the remaining settings are validated as well. A setting without a
/// fallback is required. Call finish() last: it reports the settings that were not read.
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

    /// Read a duration with a unit: ms, s, m or h.
    [[nodiscard]] milliseconds duration(std::string_view name,
                                        std::optional<milliseconds> fallback = std::nullopt);

    /// Read an amount of memory with a unit: MB or GB.
    /// @return the amount in megabytes
    [[nodiscard]] std::int64_t megabytes(std::string_view name,
                                         std::optional<std::int64_t> fallback = std::nullopt);

    [[nodiscard]] endpoint address(std::string_view name);

    /// Read a value that must be one of @p allowed.
    [[nodiscard]] std::string choice(std::string_view name,
                                     std::span<const std::string_view> allowed,
                                     std::optional<std::string> fallback = std::nullopt);

    [[nodiscard]] std::vector<std::string> texts(std::string_view name);

    /// Read a nested mapping with @p read; an absent mapping is read as an empty one.
    void child(std::string_view name, const std::function<void(yaml_mapping&)>& read);

    /// Read each entry of a nested mapping in which any name is allowed; each value is a mapping.
    void each(std::string_view name,
              const std::function<void(const std::string& key, yaml_mapping&)>& read);

    /// Read each element of a sequence of mappings.
    void elements(std::string_view name, const std::function<void(yaml_mapping&)>& read);

    [[nodiscard]] bool has(std::string_view name) const;

    /// Add a problem with the setting @p name to the list.
    void report(std::string_view name, std::string_view message);

    /// Report as unknown every setting of this mapping that none of the functions above has read.
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
