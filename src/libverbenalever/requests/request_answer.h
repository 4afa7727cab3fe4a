#pragma once

#include "http/http_response.h"
#include "requests/attempt_result.h"

#include <functional>

namespace verbenalever {

/// The one final answer to a request.
struct request_answer {
    attempt_outcome outcome = attempt_outcome::unknown;
    http_response response;
    bool given_to_resends = true; ///< whether a later resend gets it again
};

using request_responder = std::function<void(const request_answer&)>;

} // namespace verbenalever
