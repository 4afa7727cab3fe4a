#include "settings/yaml_problems.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace verbenalever {

yaml_problems::yaml_problems(std::string file) : file(std::move(file)) {}

void yaml_problems::add(int line, std::string_view path, std::string_view message)
{
    const auto source = this->source_file_of(path);
    const auto location = line > 0 ? fmt::format("{}:{}", source, line) : std::string(source);
    this->lines.push_back(path.empty() ? fmt::format("{}: {}", location, message)
                                       : fmt::format("{}: {}: {}", location, path, message));
}

void yaml_problems::set_source_file(std::string path, std::string file)
{
    this->source_files.insert_or_assign(std::move(path), std::move(file));
}

std::string_view yaml_problems::source_file_of(std::string_view path) const
{
    while (!path.empty()) {
        if (const auto found = this->source_files.find(path); found != this->source_files.end())
            return found->second;
        const auto end = path.find_last_of(".[");
        path = path.substr(0, end == std::string_view::npos ? 0 : end);
    }
    return this->file;
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
