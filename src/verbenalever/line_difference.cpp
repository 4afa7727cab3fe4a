#include "line_difference.h"

#include "settings/yaml_file.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace tool {

namespace {

/// Most lines of a changed part that are compared pair by pair; larger parts are shown whole.
constexpr std::size_t most_compared_lines = 4000;

std::vector<std::string_view> lines_of(std::string_view text)
{
    std::vector<std::string_view> lines;
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        lines.push_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return lines;
}

using lines_view = std::vector<std::string_view>;

void append(std::string& out, char sign, std::string_view line)
{
    out += sign;
    out += line;
    out += '\n';
}

/// Longest common subsequence of two lists of lines, walked from the front.
std::string difference_of(const lines_view& before, const lines_view& after)
{
    const auto width = after.size() + 1;
    std::vector<std::uint32_t> common((before.size() + 1) * width, 0);
    for (auto i = before.size(); i-- > 0;) {
        for (auto j = after.size(); j-- > 0;)
            common[i * width + j] = before[i] == after[j] ? common[(i + 1) * width + j + 1] + 1
                                                          : std::max(common[(i + 1) * width + j],
                                                                     common[i * width + j + 1]);
    }
    std::string out;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < before.size() || j < after.size()) {
        const bool both = i < before.size() && j < after.size();
        if (both && before[i] == after[j]) {
            ++i;
            ++j;
        }
        else if (j == after.size() ||
                 (both && common[(i + 1) * width + j] >= common[i * width + j + 1]))
            append(out, '-', before[i++]);
        else
            append(out, '+', after[j++]);
    }
    return out;
}

void set_block_style(YAML::Node node)
{
    if (!node.IsMap() && !node.IsSequence())
        return;
    node.SetStyle(YAML::EmitterStyle::Block);
    for (auto child : node)
        set_block_style(node.IsMap() ? child.second : YAML::Node(child));
}

} // namespace

std::string line_difference(std::string_view before, std::string_view after)
{
    auto old_lines = lines_of(before);
    auto new_lines = lines_of(after);
    const auto [old_part, new_part] = std::ranges::mismatch(old_lines, new_lines);
    old_lines.erase(old_lines.begin(), old_part);
    new_lines.erase(new_lines.begin(), new_part);
    while (!old_lines.empty() && !new_lines.empty() && old_lines.back() == new_lines.back()) {
        old_lines.pop_back();
        new_lines.pop_back();
    }
    if (std::max(old_lines.size(), new_lines.size()) <= most_compared_lines)
        return difference_of(old_lines, new_lines);
    std::string out;
    for (const auto line : old_lines)
        append(out, '-', line);
    for (const auto line : new_lines)
        append(out, '+', line);
    return out;
}

std::string normalized_yaml(const std::string& text)
{
    auto node = verbenalever::parse_yaml(text, "");
    if (!node.ok())
        return text;
    set_block_style(*node);
    YAML::Emitter out;
    out << *node;
    return std::string(out.c_str(), out.size()) + "\n";
}

} // namespace tool
