#include "settings/yaml_file.h"

#include "settings/yaml_alias_finder.h"

#include <fmt/format.h>

#include <fstream>
#include <iterator>
#include <optional>
#include <sstream>

namespace verbenalever {

namespace {

/// @return the position of the first alias in @p text. Aliases are rejected because an alias and
/// its anchor are the same node: changing the value in one place would change the other as well.
std::optional<YAML::Mark> find_first_alias(const std::string& text)
{
    std::istringstream input(text);
    YAML::Parser parser(input);
    yaml_alias_finder finder;
    parser.HandleNextDocument(finder);
    return finder.first_alias();
}

} // namespace

absl::StatusOr<YAML::Node> parse_yaml(std::string_view text, std::string_view name)
{
    try {
        if (const auto alias = find_first_alias(std::string(text)))
            return absl::InvalidArgumentError(fmt::format(
                "{}:{}: aliases are not supported; repeat the value", name, alias->line + 1));
        return YAML::Load(std::string(text));
    }
    catch (const YAML::Exception& error) {
        return absl::InvalidArgumentError(
            fmt::format("{}:{}: {}", name, error.mark.line + 1, error.msg));
    }
}

absl::StatusOr<std::string> read_file(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        return absl::NotFoundError(fmt::format("cannot read {}", path));
    return std::string(std::istreambuf_iterator<char>(file), {});
}

} // namespace verbenalever
