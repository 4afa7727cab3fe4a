#include "line_difference.h"

#include "settings/yaml_file.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace tool {

namespace {

/// Maximum number of lines, between the common start and end of the texts, for which the
/// difference is computed in quadratic time. Longer parts are printed whole as removed and added.
constexpr std::size_t max_compared_lines = 4000;

std::vector<std::string_view> split_lines(std::string_view text)
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

void append_line(std::string& out, char marker, std::string_view line)
{
    out += marker;
    out += line;
    out += '\n';
}

/// Compute the difference of two lists of lines from their longest common subsequence, by dynamic
/// programming: common_length holds its length for each pair of suffixes.
std::string diff_lines(const lines_view& before, const lines_view& after)
{
    const auto width = after.size() + 1;
    std::vector<std::uint32_t> common_length((before.size() + 1) * width, 0);
    for (auto i = before.size(); i-- > 0;) {
        for (auto j = after.size(); j-- > 0;)
            common_length[i * width + j] = before[i] == after[j]
                                               ? common_length[(i + 1) * width + j + 1] + 1
                                               : std::max(common_length[(i + 1) * width + j],
                                                          common_length[i * width + j + 1]);
    }
    std::string out;
    std::size_t i = 0;
    std::size_t j = 0;
    while (i < before.size() || j < after.size()) {
        const bool both_remain = i < before.size() && j < after.size();
        if (both_remain && before[i] == after[j]) {
            ++i;
            ++j;
        }
        else if (j == after.size() || (both_remain && common_length[(i + 1) * width + j] >=
                                                          common_length[i * width + j + 1]))
            append_line(out, '-', before[i++]);
        else
            append_line(out, '+', after[j++]);
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
    auto old_lines = split_lines(before);
    auto new_lines = split_lines(after);
    const auto [old_mismatch, new_mismatch] = std::ranges::mismatch(old_lines, new_lines);
    old_lines.erase(old_lines.begin(), old_mismatch);
    new_lines.erase(new_lines.begin(), new_mismatch);
    while (!old_lines.empty() && !new_lines.empty() && old_lines.back() == new_lines.back()) {
        old_lines.pop_back();
        new_lines.pop_back();
    }
    if (std::max(old_lines.size(), new_lines.size()) <= max_compared_lines)
        return diff_lines(old_lines, new_lines);
    std::string out;
    for (const auto line : old_lines)
        append_line(out, '-', line);
    for (const auto line : new_lines)
        append_line(out, '+', line);
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
