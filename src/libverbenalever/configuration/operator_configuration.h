#pragma once

#include "configuration/key_configuration.h"
#include "configuration/queue_configuration.h"
#include "configuration/team_configuration.h"

#include <absl/status/statusor.h>
#include <yaml-cpp/yaml.h>

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace verbenalever {

class yaml_mapping;
class yaml_problems;

/// The operators' configuration after parsing and validation.
struct operator_configuration {
    std::int64_t revision = 0;
    std::string policy = "share"; ///< share, strict or fifo
    std::map<std::string, team_configuration, std::less<>> teams;
    std::map<std::string, queue_configuration, std::less<>> queues;
    std::vector<key_configuration> keys;
    std::vector<key_configuration> operator_keys;
    std::set<std::string, std::less<>> availability_zones_out;
    /// Availability zones that are out of service and whose running work is moved.
    std::set<std::string, std::less<>> availability_zones_moving;

    /// Parse and validate YAML text; all problems are reported together.
    /// @return INVALID_ARGUMENT with "FILE:LINE: PATH: MESSAGE" lines
    [[nodiscard]] static absl::StatusOr<operator_configuration> parse(std::string_view text,
                                                                      std::string_view file);

    /// Validate and convert parsed YAML; problems are added to @p problems.
    [[nodiscard]] static operator_configuration read(const YAML::Node& node,
                                                     yaml_problems& problems);
};

/// Read a mapping of resource amounts.
/// @param fallback amount of each resource that the mapping does not name, in the resource's unit
[[nodiscard]] resources read_resources(yaml_mapping& source, std::int64_t fallback);

} // namespace verbenalever
