#pragma once

#include "http/http_response.h"

#include <string_view>

namespace verbenalever {

/// What is known after one attempt to run a request.
enum class attempt_outcome {
    answered, ///< the target's whole answer came, whatever its status
    not_run,  ///< the target surely did not run it and will not
    unknown,  ///< a byte may have left and no whole answer came
};

/// The code of an attempt that a peer refused, having no room for it.
inline constexpr std::string_view peer_refused = "peer_refused";

/// How one attempt ended, at a target or through a peer.
struct attempt_result {
    attempt_outcome outcome = attempt_outcome::unknown;
    http_response response; ///< the target's, when answered
    std::string_view code;  ///< stable word for the reason, when not answered
    bool timed_out = false;

    /// @return whether the target answered that it ran the request and failed
    [[nodiscard]] bool failed() const
    {
        return this->outcome == attempt_outcome::answered && this->response.status >= 500;
    }
};

} // namespace verbenalever
