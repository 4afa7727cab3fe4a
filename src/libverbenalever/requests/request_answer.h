#pragma once

#include "http/http_response.h"
#include "requests/attempt_result.h"

#include <functional>
#include <string_view>

namespace verbenalever {

/// The final answer to a request; each request gets exactly one.
struct request_answer {
    attempt_outcome outcome = attempt_outcome::unknown;
    http_response response;
    std::string_view code;         ///< stable error code, when not answered
    bool repeat_to_resends = true; ///< whether a later resend gets this answer too
};

using request_responder = std::function<void(const request_answer&)>;

} // namespace verbenalever
