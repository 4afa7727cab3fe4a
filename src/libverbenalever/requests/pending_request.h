#pragma once

#include "loop/clock.h"
#include "requests/request_answer.h"
#include "requests/request_work.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace verbenalever {

/// Phase of a request that has no final answer yet.
enum class request_phase {
    claiming,    ///< the caller's id of the request is being claimed in the store
    queued,      ///< in the queue
    sent,        ///< to a target or a peer
    backing_off, ///< waits before the next attempt
};

/// One caller's request that waits for its final answer.
struct pending_request {
    std::uint64_t number = 0; ///< unique in this process
    std::string caller_id;    ///< the caller's own id for resends, or empty
    request_work work;
    monotonic_time arrival;
    request_responder respond;
    request_phase phase = request_phase::queued;
    monotonic_time wake_at; ///< timeout of the claim, or end of the back-off
    monotonic_time sent_at; ///< start of the present attempt

    bool claim_sent = false; ///< the store may contain a claim on the caller's id
    int attempts = 0;
    bool may_have_run = false;                ///< the final answer can no longer be "not run"
    std::optional<http_response> last_answer; ///< the last 5xx answer of a target
    /// Targets and peers of earlier attempts.
    std::set<std::string, std::less<>> tried_destinations;

    /// @return the key that identifies resends of this request; empty when it is repeatable or
    ///         without a caller's id
    [[nodiscard]] std::string resend_key() const
    {
        if (this->caller_id.empty() || this->work.repeatable)
            return {};
        return (this->work.team.empty() ? "-" : this->work.team) + "/" + this->caller_id;
    }
};

} // namespace verbenalever
