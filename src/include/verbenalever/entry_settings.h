#pragma once

#include "loop/clock.h"
#include "loop/endpoint.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace verbenalever {

/// One entry daemon's own settings, read from its YAML file at start.
struct entry_settings {
    std::string name;
    std::string availability_zone;
    endpoint http;                          ///< where callers and operators connect
    endpoint peer;                          ///< where other entry daemons connect
    endpoint platform;                      ///< the platform's key-value service and VM list
    std::vector<endpoint> seeds;            ///< peers to contact while the platform is unreachable
    std::vector<std::string> operator_keys; ///< SHA-256 of the operator keys that are valid before
                                            ///< a configuration was read

    std::size_t body_limit_bytes = 1 << 20;
    std::size_t memory_mb = 260;     ///< of the VM; a part of it is for request bodies
    std::size_t max_descriptors = 0; ///< that the process may open; 0: not known
    milliseconds heartbeat_interval{1000};
    milliseconds target_lease{3000};
    milliseconds target_lease_renewal{1000};
    milliseconds task_lease{30000};
    milliseconds finished_job_rest{120000}; ///< time from the end of a job until it is archived
    milliseconds vm_list_interval{1000};
    milliseconds drain_timeout{30000};

    /// Read settings from YAML text; all problems are reported together.
    /// @param file name to show in messages
    /// @return INVALID_ARGUMENT with one line for each problem
    [[nodiscard]] static absl::StatusOr<entry_settings> parse(std::string_view text,
                                                              std::string_view file);
};

} // namespace verbenalever
