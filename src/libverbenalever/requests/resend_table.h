#pragma once

#include "loop/clock.h"
#include "requests/request_answer.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace verbenalever {

/// The requests of this entry daemon that have a caller's id: those in progress, to which a resend
/// is attached, and the answers of the last minute, which a resend gets again.
class resend_table {
public:
    /// Begin a request, unless one with the same key is in progress or has a stored answer.
    /// @param respond called with the answer of that other request, now or once it ends; not called
    ///                when a new request begins
    /// @return whether a new request begins; then finish() has to be called for it
    [[nodiscard]] bool begin_or_join(const std::string& key, const request_responder& respond,
                                     monotonic_time now);

    /// @return the writer's id for this request's claim (see request_id_claims). A request that
    ///         begins after one with the same key did not run has another id, which differs only in
    ///         the part after the last '.'.
    [[nodiscard]] std::string claim_writer(const std::string& key) const;

    /// End a request: pass the answer to the attached resends, and store it unless it is "not run".
    void finish(const std::string& key, const request_answer& answer, monotonic_time now);

    /// Drop ended requests after a minute, and the oldest ones while they take too much memory.
    void expire(monotonic_time now);

    [[nodiscard]] std::size_t size() const;

private:
    /// State of one key.
    struct record {
        std::string claim_writer;
        int begin_count = 1; ///< times that a request with this key began
        bool in_progress = true;
        std::vector<request_responder> joined_responders;
        std::optional<request_answer> answer; ///< empty when it did not run
        monotonic_time ended_at;
    };

    void drop_oldest();

    std::unordered_map<std::string, record> records;
    std::deque<std::pair<monotonic_time, std::string>> ended_keys; ///< oldest first
    std::size_t stored_bytes = 0;
};

} // namespace verbenalever
