#pragma once

#include <absl/status/statusor.h>

#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace verbenalever {

class configuration_store;
struct http_request;
struct queue_configuration;

/// Decides who a key belongs to and what its bearer may do.
class access_control {
public:
    /// @param bootstrap_keys SHA-256 of operators' keys from this entry's own settings
    access_control(const configuration_store& configuration,
                   std::vector<std::string> bootstrap_keys);

    /// @return the team whose key came with the request; UNAUTHENTICATED without a valid one
    [[nodiscard]] absl::StatusOr<std::string> team_of(const http_request& request) const;

    /// @return the team under which work enters @p queue: the key's, or "" on an open queue
    [[nodiscard]] absl::StatusOr<std::string> admit(const http_request& request,
                                                    const queue_configuration& queue) const;

    /// @return OK for an operator's key; UNAUTHENTICATED otherwise
    [[nodiscard]] absl::Status require_operator(const http_request& request) const;

private:
    const configuration_store& configuration;
    std::vector<std::string> bootstrap_keys;
};

} // namespace verbenalever
