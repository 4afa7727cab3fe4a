#include "settings/yaml_mapping.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace verbenalever {

namespace {

/// A unit and its size in base units (milliseconds or megabytes).
struct unit {
    std::string_view name;
    std::int64_t factor;
};

constexpr std::array duration_units{unit{"ms", 1}, unit{"s", 1000}, unit{"m", 60'000},
                                    unit{"h", 3'600'000}};
constexpr std::array memory_units{unit{"MB", 1}, unit{"GB", 1024}};

template <typename Number>
std::optional<Number> parse_number(std::string_view text)
{
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return value;
}

/// @return the value in the smallest unit; a fraction of it is rounded up
std::optional<std::int64_t> parse_with_unit(std::string_view text, std::span<const unit> units)
{
    const auto unit_start = text.find_first_not_of("0123456789.");
    if (unit_start == 0 || unit_start == std::string_view::npos)
        return std::nullopt;
    const auto value = parse_number<double>(text.substr(0, unit_start));
    const auto found = std::ranges::find(units, text.substr(unit_start), &unit::name);
    constexpr double max_value = 1'000'000'000'000;
    if (!value || found == units.end())
        return std::nullopt;
    const auto scaled = *value * static_cast<double>(found->factor);
    if (scaled > max_value)
        return std::nullopt;
    return static_cast<std::int64_t>(std::ceil(scaled));
}

int line_of(const YAML::Node& node)
{
    return node.Mark().is_null() ? 0 : node.Mark().line + 1;
}

} // namespace

yaml_mapping::yaml_mapping(const YAML::Node& node, std::string path, yaml_problems& problems)
    : node(node), path(std::move(path)), problems(problems)
{
    if (this->node.IsDefined() && !this->node.IsNull() && !this->node.IsMap()) {
        this->problems.add(line_of(this->node), this->path, "must be a mapping");
        this->node = YAML::Node();
    }
    this->report_duplicates();
}

void yaml_mapping::report_duplicates()
{
    if (!this->node.IsMap())
        return;
    std::set<std::string> names;
    for (const auto& entry : this->node) {
        if (const auto name = entry.first.Scalar(); !names.insert(name).second)
            this->problems.add(line_of(entry.first), this->path_of(name), "is set twice");
    }
}

std::string yaml_mapping::path_of(std::string_view name) const
{
    return this->path.empty() ? std::string(name) : fmt::format("{}.{}", this->path, name);
}

bool yaml_mapping::has(std::string_view name) const
{
    return this->node.IsMap() && this->node[std::string(name)].IsDefined();
}

void yaml_mapping::report(std::string_view name, std::string_view message)
{
    const int line = this->has(name) ? line_of(this->node[std::string(name)]) : line_of(this->node);
    this->problems.add(line, this->path_of(name), message);
}

std::optional<std::string> yaml_mapping::scalar(std::string_view name, bool required)
{
    this->known_names.emplace(name);
    if (!this->has(name)) {
        if (required)
            this->report(name, "is missing");
        return std::nullopt;
    }
    const auto value = this->node[std::string(name)];
    if (!value.IsScalar()) {
        this->report(name, "must be a single value");
        return std::nullopt;
    }
    return value.Scalar();
}

std::string yaml_mapping::text(std::string_view name, std::optional<std::string> fallback)
{
    return this->scalar(name, !fallback).value_or(fallback.value_or(""));
}

std::int64_t yaml_mapping::integer(std::string_view name, std::int64_t minimum,
                                   std::int64_t maximum, std::optional<std::int64_t> fallback)
{
    const auto default_value = fallback.value_or(minimum);
    const auto text = this->scalar(name, !fallback);
    if (!text)
        return default_value;
    const auto value = parse_number<std::int64_t>(*text);
    if (value && *value >= minimum && *value <= maximum)
        return *value;
    this->report(name,
                 fmt::format("'{}' is not a whole number from {} to {}", *text, minimum, maximum));
    return default_value;
}

double yaml_mapping::number(std::string_view name, double minimum, double maximum,
                            std::optional<double> fallback)
{
    const auto default_value = fallback.value_or(minimum);
    const auto text = this->scalar(name, !fallback);
    if (!text)
        return default_value;
    const auto value = parse_number<double>(*text);
    if (value && *value >= minimum && *value <= maximum)
        return *value;
    this->report(name, fmt::format("'{}' is not a number from {} to {}", *text, minimum, maximum));
    return default_value;
}

bool yaml_mapping::flag(std::string_view name, std::optional<bool> fallback)
{
    const auto text = this->scalar(name, !fallback);
    if (!text)
        return fallback.value_or(false);
    if (*text == "true" || *text == "false")
        return *text == "true";
    this->report(name, fmt::format("'{}' is neither true nor false", *text));
    return fallback.value_or(false);
}

milliseconds yaml_mapping::duration(std::string_view name, std::optional<milliseconds> fallback)
{
    const auto text = this->scalar(name, !fallback);
    if (!text)
        return fallback.value_or(milliseconds(0));
    if (const auto value = parse_with_unit(*text, duration_units))
        return milliseconds(*value);
    this->report(
        name,
        fmt::format("'{}' is not a duration with a unit (ms, s, m, h), such as 500ms", *text));
    return fallback.value_or(milliseconds(0));
}

std::int64_t yaml_mapping::megabytes(std::string_view name, std::optional<std::int64_t> fallback)
{
    const auto text = this->scalar(name, !fallback);
    if (!text)
        return fallback.value_or(0);
    if (const auto value = parse_with_unit(*text, memory_units))
        return *value;
    this->report(
        name,
        fmt::format("'{}' is not an amount of memory with a unit (MB, GB), such as 4GB", *text));
    return fallback.value_or(0);
}

endpoint yaml_mapping::address(std::string_view name)
{
    const auto text = this->scalar(name, true);
    if (!text)
        return {};
    auto parsed = endpoint::parse(*text);
    if (parsed.ok())
        return *std::move(parsed);
    this->report(name, std::string(parsed.status().message()));
    return {};
}

std::string yaml_mapping::choice(std::string_view name, std::span<const std::string_view> allowed,
                                 std::optional<std::string> fallback)
{
    const auto default_value = fallback.value_or(std::string(allowed.front()));
    const auto text = this->scalar(name, !fallback);
    if (!text)
        return default_value;
    if (std::ranges::find(allowed, *text) != allowed.end())
        return *text;
    this->report(name, fmt::format("'{}' is not one of: {}", *text, fmt::join(allowed, ", ")));
    return default_value;
}

std::vector<std::string> yaml_mapping::texts(std::string_view name)
{
    this->known_names.emplace(name);
    std::vector<std::string> result;
    if (!this->has(name))
        return result;
    const auto sequence = this->node[std::string(name)];
    if (!sequence.IsSequence()) {
        this->report(name, "must be a list");
        return result;
    }
    for (const auto& element : sequence) {
        if (element.IsScalar())
            result.push_back(element.Scalar());
        else
            this->report(name, "each element must be a single value");
    }
    return result;
}

void yaml_mapping::child(std::string_view name, const std::function<void(yaml_mapping&)>& read)
{
    this->known_names.emplace(name);
    const auto value = this->has(name) ? this->node[std::string(name)] : YAML::Node();
    yaml_mapping nested(value, this->path_of(name), this->problems);
    read(nested);
    nested.finish();
}

void yaml_mapping::each(std::string_view name,
                        const std::function<void(const std::string&, yaml_mapping&)>& read)
{
    this->known_names.emplace(name);
    if (!this->has(name) || this->node[std::string(name)].IsNull())
        return;
    const auto mapping = this->node[std::string(name)];
    if (!mapping.IsMap()) {
        this->report(name, "must be a mapping");
        return;
    }
    // The constructor of yaml_mapping reports duplicate names.
    const yaml_mapping checked(mapping, this->path_of(name), this->problems);
    for (const auto& entry : mapping) {
        const auto key = entry.first.Scalar();
        yaml_mapping nested(entry.second, fmt::format("{}.{}", this->path_of(name), key),
                            this->problems);
        read(key, nested);
        nested.finish();
    }
}

void yaml_mapping::elements(std::string_view name, const std::function<void(yaml_mapping&)>& read)
{
    this->known_names.emplace(name);
    if (!this->has(name) || this->node[std::string(name)].IsNull())
        return;
    const auto sequence = this->node[std::string(name)];
    if (!sequence.IsSequence()) {
        this->report(name, "must be a list");
        return;
    }
    for (std::size_t index = 0; index < sequence.size(); ++index) {
        yaml_mapping nested(sequence[index], fmt::format("{}[{}]", this->path_of(name), index),
                            this->problems);
        read(nested);
        nested.finish();
    }
}

void yaml_mapping::finish()
{
    if (!this->node.IsMap())
        return;
    for (const auto& entry : this->node) {
        // A name that was merged in from an overlay has no line of its own.
        const int line = line_of(entry.first) > 0 ? line_of(entry.first) : line_of(entry.second);
        if (const auto name = entry.first.Scalar(); !this->known_names.contains(name))
            this->problems.add(line, this->path_of(name), "is not a known setting");
    }
}

} // namespace verbenalever
