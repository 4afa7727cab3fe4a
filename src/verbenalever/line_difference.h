#pragma once

#include <string>
#include <string_view>

namespace tool {

/// @return the lines that differ, "-" before those of @p before and "+" before those of @p after;
///         empty when the texts are the same
[[nodiscard]] std::string line_difference(std::string_view before, std::string_view after);

/// @return @p text as the YAML library writes it, in block style; the text itself if it is no YAML
[[nodiscard]] std::string normalized_yaml(const std::string& text);

} // namespace tool
