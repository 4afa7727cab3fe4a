#include "access/access_control.h"

#include "access/key_digest.h"
#include "access/wrong_key_limiter.h"
#include "configuration/configuration_store.h"
#include "http/http_request.h"
#include "http/problem.h"

#include <span>

namespace verbenalever {

namespace {

constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::string_view settings_key_id = "settings";

std::string_view presented_key(const http_request& request)
{
    const auto header = request.header("Authorization");
    if (!header.starts_with(bearer_prefix))
        return {};
    return header.substr(bearer_prefix.size());
}

/// Compares with every key in constant time, so that the duration does not reveal which key is
/// similar.
const key_configuration* find_key(std::span<const key_configuration> keys, std::string_view digest)
{
    const key_configuration* found = nullptr;
    for (const auto& known : keys) {
        if (equal_constant_time(known.sha256, digest))
            found = &known;
    }
    return found;
}

} // namespace

access_control::access_control(const configuration_store& configuration,
                               std::vector<std::string> bootstrap_keys)
    : configuration(configuration), bootstrap_keys(std::move(bootstrap_keys)),
      limiter(std::make_unique<wrong_key_limiter>())
{
}

access_control::~access_control() = default;

absl::StatusOr<std::string> access_control::team_of(const http_request& request) const
{
    const auto key = presented_key(request);
    if (key.empty())
        return absl::UnauthenticatedError("a key is needed: Authorization: Bearer KEY");
    if (const auto* known = find_key(this->configuration.current().keys, key_digest(key)))
        return known->team;
    return this->reject_key(request, "the key is not valid");
}

absl::StatusOr<std::string> access_control::admit(const http_request& request,
                                                  const queue_configuration& queue) const
{
    if (queue.open && presented_key(request).empty())
        return std::string();
    return this->team_of(request);
}

absl::StatusOr<std::string> access_control::operator_of(const http_request& request) const
{
    const auto key = presented_key(request);
    if (key.empty())
        return absl::UnauthenticatedError("an operator's key is needed");
    const auto digest = key_digest(key);
    bool is_bootstrap_key = false;
    for (const auto& known : this->bootstrap_keys)
        is_bootstrap_key = equal_constant_time(known, digest) || is_bootstrap_key;
    const auto* known = find_key(this->configuration.current().operator_keys, digest);
    if (known != nullptr)
        return known->id;
    if (is_bootstrap_key)
        return std::string(settings_key_id);
    return this->reject_key(request, "the key is not an operator's");
}

absl::Status access_control::reject_key(const http_request& request, std::string_view message) const
{
    const auto wait = this->limiter->count(request.source, monotonic_clock::now());
    if (!wait)
        return absl::UnauthenticatedError({message.data(), message.size()});
    auto status = absl::ResourceExhaustedError("too many wrong keys from this address");
    set_retry_after(status, *wait);
    return status;
}

} // namespace verbenalever
