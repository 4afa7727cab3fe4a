#pragma once

#include "scheduling/resources.h"

#include <absl/status/statusor.h>
#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace verbenalever {

struct operator_configuration;

/// A change that only narrows what is allowed. It therefore takes effect on an entry daemon at
/// once, before it is stored.
struct restriction {
    std::string id;              ///< unique
    std::string kind;            ///< withdraw_key, zone_out, lower_limit or stop_queue
    std::string subject;         ///< id of the key, name of the zone, team or queue
    std::string drain;           ///< for the kind zone_out: let-end or move
    resources limit;             ///< for the kind lower_limit: the team's new upper limit
    std::string operator_key_id; ///< id of the operator's key
    std::int64_t made_us = 0;    ///< wall clock, microseconds since the Unix epoch

    /// @return the JSON form in which peers exchange the restriction
    [[nodiscard]] std::string encode() const;

    /// @return INVALID_ARGUMENT when @p text is not an encoded restriction
    [[nodiscard]] static absl::StatusOr<restriction> decode(std::string_view text);

    /// Validate a restriction that an operator requested.
    /// @return INVALID_ARGUMENT with the reason; NOT_FOUND when the subject is not configured
    [[nodiscard]] absl::Status validate(const operator_configuration& configuration) const;

    /// Narrow @p configuration. Settings that are already narrower stay unchanged.
    void narrow(operator_configuration& configuration) const;

    /// Write the restriction into the configuration's YAML.
    void write_to_yaml(YAML::Node& root) const;
};

} // namespace verbenalever
