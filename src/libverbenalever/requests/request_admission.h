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

/// Parses and checks a caller's request (queue, API key, deadline, whether it is repeatable, the
/// caller's id) and decides whether it may be queued.
class request_admission {
public:
    request_admission(const configuration_store& configuration, const access_control& access);

    /// @return the request, its responder not yet set, or the "not run" response with the error
    [[nodiscard]] std::variant<pending_request, http_response>
    parse(const http_request& request, const std::string& queue) const;

    /// @param load     of the request's queue
    /// @param draining whether this entry daemon is draining before its shutdown
    /// @return the "not run" answer that refuses the request; nothing when it may be queued
    [[nodiscard]] std::optional<request_answer>
    refusal(const pending_request& request, const queue_load& load, bool draining) const;

private:
    const configuration_store& configuration;
    const access_control& access;
};

} // namespace verbenalever
