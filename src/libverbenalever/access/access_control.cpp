#include "access/access_control.h"

#include "access/key_digest.h"
#include "configuration/configuration_store.h"
#include "http/http_request.h"

namespace verbenalever {

namespace {

constexpr std::string_view bearer_prefix = "Bearer ";

std::string_view presented_key(const http_request& request)
{
    const auto header = request.header("Authorization");
    if (!header.starts_with(bearer_prefix))
        return {};
    return header.substr(bearer_prefix.size());
}

} // namespace

access_control::access_control(const configuration_store& configuration,
                               std::vector<std::string> bootstrap_keys)
    : configuration(configuration), bootstrap_keys(std::move(bootstrap_keys))
{
}

absl::StatusOr<std::string> access_control::team_of(const http_request& request) const
{
    const auto key = presented_key(request);
    if (key.empty())
        return absl::UnauthenticatedError("a key is needed: Authorization: Bearer KEY");
    const auto digest = key_digest(key);
    for (const auto& known : this->configuration.current().keys) {
        if (equal_constant_time(known.sha256, digest))
            return known.team;
    }
    return absl::UnauthenticatedError("the key is not valid");
}

absl::StatusOr<std::string> access_control::admit(const http_request& request,
                                                  const queue_configuration& queue) const
{
    if (queue.open && presented_key(request).empty())
        return std::string();
    return this->team_of(request);
}

absl::Status access_control::require_operator(const http_request& request) const
{
    const auto key = presented_key(request);
    if (key.empty())
        return absl::UnauthenticatedError("an operator's key is needed");
    const auto digest = key_digest(key);
    bool valid = false;
    for (const auto& known : this->bootstrap_keys)
        valid = equal_constant_time(known, digest) || valid;
    for (const auto& known : this->configuration.current().operator_keys)
        valid = equal_constant_time(known.sha256, digest) || valid;
    return valid ? absl::OkStatus() : absl::UnauthenticatedError("the key is not an operator's");
}

} // namespace verbenalever
