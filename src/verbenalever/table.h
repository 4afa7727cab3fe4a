#pragma once

#include <nlohmann/json.hpp>

#include <span>
#include <string>
#include <string_view>

namespace tool {

/// One column of a table: its title and the JSON member that its cells show.
struct column {
    std::string_view title;
    std::string_view member; ///< "a.b" for the member b of the object a
};

/// Print rows as a table whose columns are as wide as their longest cell.
void print_table(std::span<const column> columns, const nlohmann::json& rows);

/// @return a cell's text: "yes" or "no" for booleans, empty if the member is absent or null
[[nodiscard]] std::string cell_text(const nlohmann::json& row, std::string_view member);

} // namespace tool
