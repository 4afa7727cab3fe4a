#pragma once

#include "configuration/key_configuration.h"
#include "configuration/queue_configuration.h"
#include "configuration/team_configuration.h"

#include <absl/status/statusor.h>

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace verbenalever {

/// What operators decide, as one checked whole.
struct operator_configuration {
    std::int64_t revision = 0;
    std::string policy = "share"; ///< share, strict or fifo
    std::map<std::string, team_configuration, std::less<>> teams;
    std::map<std::string, queue_configuration, std::less<>> queues;
    std::vector<key_configuration> keys;
    std::vector<key_configuration> operator_keys;
    std::set<std::string, std::less<>> availability_zones_out;

    /// Read YAML text; every problem is told at once.
    /// @return INVALID_ARGUMENT with "FILE:LINE: PATH: MESSAGE" lines
    [[nodiscard]] static absl::StatusOr<operator_configuration> parse(std::string_view text,
                                                                      std::string_view file);
};

} // namespace verbenalever
