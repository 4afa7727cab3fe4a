#include "settings/yaml_file.h"

#include <fmt/format.h>

#include <fstream>
#include <iterator>

namespace verbenalever {

absl::StatusOr<YAML::Node> parse_yaml(std::string_view text, std::string_view name)
{
    try {
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
