#include "settings/yaml_problems.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace verbenalever {

yaml_problems::yaml_problems(std::string file) : file(std::move(file)) {}

void yaml_problems::add(int line, std::string_view path, std::string_view message)
{
    const auto place = line > 0 ? fmt::format("{}:{}", this->file, line) : this->file;
    this->lines.push_back(path.empty() ? fmt::format("{}: {}", place, message)
                                       : fmt::format("{}: {}: {}", place, path, message));
}

bool yaml_problems::empty() const
{
    return this->lines.empty();
}

absl::Status yaml_problems::status() const
{
    if (this->lines.empty())
        return absl::OkStatus();
    return absl::InvalidArgumentError(fmt::format("{}", fmt::join(this->lines, "\n")));
}

} // namespace verbenalever
