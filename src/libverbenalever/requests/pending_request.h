#pragma once

#include "loop/clock.h"
#include "requests/request_answer.h"
#include "requests/request_work.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace verbenalever {

/// Where a held request stands.
enum class request_phase {
    claiming,    ///< its caller's id is being claimed in the store
    queued,      ///< in the queue
    sent,        ///< at a target or a peer
    backing_off, ///< waits before the next attempt
};

/// One caller's request, held open until it has its answer.
struct pending_request {
    std::uint64_t number = 0; ///< unique in this process
    std::string caller_id;    ///< the caller's own id for resends, or empty
    request_work work;
    monotonic_time arrival;
    request_responder respond;
    request_phase phase = request_phase::queued;
    monotonic_time wake_at; ///< end of claiming or backing off
    monotonic_time sent_at; ///< of the present attempt

    bool claim_sent = false; ///< the store may hold a claim on the caller's id
    int attempts = 0;
    bool may_have_run = false;                ///< "not run" would no longer be true
    std::optional<http_response> last_answer; ///< of an attempt that ran and failed
    std::set<std::string, std::less<>>
        tried_destinations; ///< targets and peers not to be tried again

    /// @return the key under which resends of this request are recognised; empty when it has none
    [[nodiscard]] std::string resend_key() const
    {
        if (this->caller_id.empty() || this->work.repeatable)
            return {};
        return (this->work.team.empty() ? "-" : this->work.team) + "/" + this->caller_id;
    }
};

} // namespace verbenalever
