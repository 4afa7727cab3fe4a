#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace verbenalever {

/// A YAML text and the name of its file.
struct configuration_source {
    std::string file; ///< file name for error messages
    std::string text;
};

/// Merge a site's overlay into the base configuration and validate the result.
///
/// Mappings are merged recursively; any other value of the overlay replaces the value of the base,
/// and null deletes it. Deleting a setting that the base does not have is an error.
/// @return the merged YAML, the base's own text when the overlay is empty; INVALID_ARGUMENT with a
///         line "FILE:LINE: PATH: MESSAGE" for each problem, with the file that the setting is in
[[nodiscard]] absl::StatusOr<std::string> merge_configuration(const configuration_source& base,
                                                              const configuration_source& overlay);

} // namespace verbenalever
