#include "administration/limit_json.h"

#include "configuration/configuration_edit.h"

#include <fmt/format.h>

#include <array>
#include <string_view>

namespace verbenalever {

namespace {

/// A JSON member of a limit and the amount that it sets.
struct limit_member {
    std::string_view name;
    std::int64_t resources::*amount;
};

constexpr std::array limit_members{limit_member{"slots", &resources::slots},
                                   limit_member{"processors_milli", &resources::processors_milli},
                                   limit_member{"memory_mb", &resources::memory_mb},
                                   limit_member{"accelerators", &resources::accelerators}};

} // namespace

absl::StatusOr<resources> limit_from_json(const nlohmann::json& json)
{
    if (!json.is_object() || json.empty())
        return absl::InvalidArgumentError("'limit' must be an object with at least one amount");
    resources limit{.slots = unlimited_units,
                    .processors_milli = unlimited_units,
                    .memory_mb = unlimited_units,
                    .accelerators = unlimited_units};
    std::size_t found = 0;
    for (const auto& member : limit_members) {
        const auto value = json.find(std::string(member.name));
        if (value == json.end())
            continue;
        if (!value->is_number_unsigned() || value->get<std::uint64_t>() > unlimited_units)
            return absl::InvalidArgumentError(
                fmt::format("'limit.{}' must be a whole number from 0", member.name));
        limit.*member.amount = value->get<std::int64_t>();
        ++found;
    }
    if (found != json.size())
        return absl::InvalidArgumentError(
            "'limit' may name slots, processors_milli, memory_mb and accelerators only");
    return limit;
}

nlohmann::json limit_to_json(const resources& limit)
{
    auto json = nlohmann::json::object();
    for (const auto& member : limit_members) {
        if (limit.*member.amount < unlimited_units)
            json[std::string(member.name)] = limit.*member.amount;
    }
    return json;
}

} // namespace verbenalever
