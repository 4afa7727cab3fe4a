#pragma once

#include "http/http_response.h"
#include "requests/pending_request.h"

#include <optional>
#include <string>
#include <variant>

namespace verbenalever {

class access_control;
class configuration_store;
class queue_load;
struct http_request;

/// Reads a caller's request (queue, key, deadline, whether it is repeatable, the caller's id) and
/// decides whether it may be queued.
class request_admission {
public:
    request_admission(const configuration_store& configuration, const access_control& access);

    /// @return the request with no responder yet, or the refusal ("not run") that says why not
    [[nodiscard]] std::variant<pending_request, http_response>
    parse(const http_request& request, const std::string& queue) const;

    /// @param load     of the request's queue
    /// @param draining whether this entry is leaving
    /// @return why the request must not be queued; nothing when it may be
    [[nodiscard]] std::optional<request_answer>
    refusal(const pending_request& request, const queue_load& load, bool draining) const;

private:
    const configuration_store& configuration;
    const access_control& access;
};

} // namespace verbenalever
