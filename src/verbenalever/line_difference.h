#pragma once

#include <string>
#include <string_view>

namespace tool {

/// @return the lines that differ: those only in @p before prefixed with "-", those only in @p after
///         prefixed with "+"; empty when the texts are equal
[[nodiscard]] std::string line_difference(std::string_view before, std::string_view after);

/// @return @p text as the YAML library emits it, in block style; unchanged if it is not valid YAML
[[nodiscard]] std::string normalized_yaml(const std::string& text);

} // namespace tool
