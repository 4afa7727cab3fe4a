#pragma once

#include <absl/status/statusor.h>
#include <yaml-cpp/yaml.h>

#include <string>
#include <string_view>

namespace verbenalever {

/// Parse YAML text.
/// @param name file name to be used in error messages
/// @return INVALID_ARGUMENT with file and line when the text is not valid YAML or has an alias
[[nodiscard]] absl::StatusOr<YAML::Node> parse_yaml(std::string_view text, std::string_view name);

/// @return the content of the file, or NOT_FOUND when it cannot be opened
[[nodiscard]] absl::StatusOr<std::string> read_file(const std::string& path);

} // namespace verbenalever
