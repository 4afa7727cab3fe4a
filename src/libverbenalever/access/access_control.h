#pragma once

#include <absl/status/statusor.h>

#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace verbenalever {

class configuration_store;
class wrong_key_limiter;
struct http_request;
struct queue_configuration;

/// Authenticates requests by their bearer key: finds the team or operator that the key belongs to.
class access_control {
public:
    /// @param bootstrap_keys SHA-256 of operators' keys from this entry daemon's own settings
    access_control(const configuration_store& configuration,
                   std::vector<std::string> bootstrap_keys);
    ~access_control();
    access_control(const access_control&) = delete;
    access_control& operator=(const access_control&) = delete;

    /// @return the team whose key came with the request; UNAUTHENTICATED without a valid one,
    ///         RESOURCE_EXHAUSTED when the source address sent too many wrong keys
    [[nodiscard]] absl::StatusOr<std::string> team_of(const http_request& request) const;

    /// @return the team that work for @p queue is counted under: the team of the key, or
    ///         "" for a request without a key to an open queue; errors as for team_of()
    [[nodiscard]] absl::StatusOr<std::string> admit(const http_request& request,
                                                    const queue_configuration& queue) const;

    /// @return the id of the operator's key that came with the request, or "settings" if that key
    ///         is from this entry daemon's own settings; UNAUTHENTICATED or RESOURCE_EXHAUSTED as
    ///         for team_of()
    [[nodiscard]] absl::StatusOr<std::string> operator_of(const http_request& request) const;

private:
    [[nodiscard]] absl::Status reject_key(const http_request& request,
                                          std::string_view message) const;

    const configuration_store& configuration;
    std::vector<std::string> bootstrap_keys;
    std::unique_ptr<wrong_key_limiter> limiter;
};

} // namespace verbenalever
