#pragma once

#include <absl/status/statusor.h>
#include <yaml-cpp/yaml.h>

#include <string>
#include <string_view>

namespace verbenalever {

/// Parse YAML text.
/// @param name file name for messages
/// @return INVALID_ARGUMENT with file and line when the text is not YAML
[[nodiscard]] absl::StatusOr<YAML::Node> parse_yaml(std::string_view text, std::string_view name);

/// @return the file's content, or NOT_FOUND
[[nodiscard]] absl::StatusOr<std::string> read_file(const std::string& path);

} // namespace verbenalever
