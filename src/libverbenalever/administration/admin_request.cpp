#include "administration/admin_request.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <optional>

namespace verbenalever {

namespace {

constexpr milliseconds max_wait{60000};

std::optional<std::int64_t> parse_non_negative(std::string_view text)
{
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value < 0)
        return std::nullopt;
    return value;
}

} // namespace

absl::StatusOr<std::int64_t> admin_request::base_revision(std::int64_t fallback) const
{
    const auto text = this->http.header("If-Match");
    if (text.empty())
        return fallback;
    if (const auto value = parse_non_negative(text))
        return *value;
    return absl::InvalidArgumentError(
        "If-Match must hold the revision that the change is based on");
}

absl::StatusOr<nlohmann::json>
admin_request::parse_body(std::initializer_list<std::string_view> members) const
{
    auto json = nlohmann::json::parse(this->http.body, nullptr, false);
    if (!json.is_object())
        return absl::InvalidArgumentError("the body must be a JSON object");
    for (const auto& [name, value] : json.items()) {
        if (std::ranges::find(members, std::string_view(name)) == members.end())
            return absl::InvalidArgumentError(fmt::format("'{}' is not a known member", name));
    }
    return json;
}

absl::StatusOr<milliseconds> admin_request::wait_time(milliseconds fallback) const
{
    const auto found = this->http.query.find("wait_ms");
    if (found == this->http.query.end())
        return fallback;
    const auto value = parse_non_negative(found->second);
    if (!value || milliseconds(*value) > max_wait)
        return absl::InvalidArgumentError(
            fmt::format("wait_ms must be from 0 to {}", max_wait.count()));
    return milliseconds(*value);
}

absl::StatusOr<std::string> text_member(const nlohmann::json& object, std::string_view name)
{
    const auto found = object.find(std::string(name));
    if (found == object.end())
        return std::string();
    if (!found->is_string())
        return absl::InvalidArgumentError(fmt::format("'{}' must be a string", name));
    return found->get<std::string>();
}

} // namespace verbenalever
