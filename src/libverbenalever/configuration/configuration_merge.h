#pragma once

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace verbenalever {

/// A named YAML text.
struct configuration_source {
    std::string file; ///< name for messages
    std::string text;
};

/// Lay a site's overlay over the base configuration and check the whole.
///
/// Mappings are merged name by name; any other value of the overlay replaces the base's, and null
/// deletes it. Deleting what the base has not is an error.
/// @return the merged YAML, the base's own text when the overlay is empty; INVALID_ARGUMENT with a
///         line "FILE:LINE: PATH: MESSAGE" for each problem, naming the file that it came from
[[nodiscard]] absl::StatusOr<std::string> merge_configuration(const configuration_source& base,
                                                              const configuration_source& overlay);

} // namespace verbenalever
