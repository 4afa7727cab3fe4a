#pragma once

#include "http/http_response.h"

#include <string_view>

namespace verbenalever {

/// What is known about a request after one attempt to run it.
enum class attempt_outcome {
    answered, ///< the target's complete answer was received, of any status
    not_run,  ///< the target certainly did not run it and will not
    unknown,  ///< bytes may have been sent and no complete answer was received
};

/// Code of an attempt that a peer refused, e.g. because it has no free capacity.
inline constexpr std::string_view peer_refused = "peer_refused";

/// How one attempt ended, at a target or through a peer.
struct attempt_result {
    attempt_outcome outcome = attempt_outcome::unknown;
    http_response response; ///< the target's, when answered
    std::string_view code;  ///< stable error code, when not answered
    bool timed_out = false;

    /// @return whether the target answered with a server error (5xx)
    [[nodiscard]] bool failed() const
    {
        return this->outcome == attempt_outcome::answered && this->response.status >= 500;
    }
};

} // namespace verbenalever
