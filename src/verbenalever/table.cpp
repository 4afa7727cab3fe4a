#include "table.h"

#include <fmt/format.h>

#include <algorithm>
#include <vector>

namespace tool {

namespace {

constexpr std::size_t column_gap = 2;

} // namespace

std::string cell_text(const nlohmann::json& row, std::string_view member)
{
    const auto dot = member.find('.');
    const auto value = row.find(std::string(member.substr(0, dot)));
    if (value == row.end() || value->is_null())
        return {};
    if (dot != std::string_view::npos)
        return cell_text(*value, member.substr(dot + 1));
    if (value->is_boolean())
        return value->get<bool>() ? "yes" : "no";
    return value->is_string() ? value->get<std::string>() : value->dump();
}

void print_table(std::span<const column> columns, const nlohmann::json& rows)
{
    std::vector<std::vector<std::string>> lines(1);
    for (const auto& column : columns)
        lines.front().emplace_back(column.title);
    for (const auto& row : rows) {
        auto& line = lines.emplace_back();
        for (const auto& column : columns)
            line.push_back(cell_text(row, column.member));
    }
    std::vector<std::size_t> widths(columns.size(), 0);
    for (const auto& line : lines) {
        for (std::size_t i = 0; i < line.size(); ++i)
            widths[i] = std::max(widths[i], line[i].size() + column_gap);
    }
    for (const auto& line : lines) {
        std::string text;
        for (std::size_t i = 0; i < line.size(); ++i)
            text += fmt::format("{:<{}}", line[i], widths[i]);
        fmt::print("{}\n", text.substr(0, text.find_last_not_of(' ') + 1));
    }
}

} // namespace tool
