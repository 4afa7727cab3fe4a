#include "configuration/configuration_document.h"

#include <fmt/chrono.h>
#include <nlohmann/json.hpp>

#include <ctime>

namespace verbenalever {

namespace {

constexpr std::int64_t microseconds_per_second = 1'000'000;

} // namespace

std::string configuration_document::encode() const
{
    return nlohmann::json{{"revision", this->revision},
                          {"number", this->number},
                          {"base", this->base},
                          {"writer", this->change_id},
                          {"by", this->operator_key_id},
                          {"accepted_us", this->accepted_us},
                          {"settled", this->resolved_restrictions},
                          {"text", this->text}}
        .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

absl::StatusOr<configuration_document> configuration_document::decode(std::string_view value,
                                                                      std::int64_t revision)
{
    try {
        const auto json = nlohmann::json::parse(value);
        configuration_document result;
        json.at("number").get_to(result.number);
        json.at("base").get_to(result.base);
        json.at("writer").get_to(result.change_id);
        json.at("by").get_to(result.operator_key_id);
        json.at("accepted_us").get_to(result.accepted_us);
        json.at("settled").get_to(result.resolved_restrictions);
        json.at("text").get_to(result.text);
        result.revision = revision != 0 ? revision : json.at("revision").get<std::int64_t>();
        return result;
    }
    catch (const nlohmann::json::exception&) {
        return absl::InvalidArgumentError("not a configuration document");
    }
}

std::string configuration_document::origin() const
{
    const auto seconds = static_cast<std::time_t>(this->accepted_us / microseconds_per_second);
    return fmt::format("revision {}, accepted at {:%Y-%m-%dT%H:%M:%SZ} by {}", this->revision,
                       fmt::gmtime(seconds),
                       this->operator_key_id.empty() ? "an unnamed key" : this->operator_key_id);
}

} // namespace verbenalever
