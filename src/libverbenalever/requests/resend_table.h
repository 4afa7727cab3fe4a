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

/// What this entry knows of requests that came with a caller's id: those in progress, which a
/// resend joins, and the answers of the last minute, which a resend gets again.
class resend_table {
public:
    /// Begin a request, unless one with the same key is known.
    /// @param respond gets the answer of the one in progress, or that given before; left alone when
    ///                a new request begins
    /// @return whether a new request begins; then finish() has to follow
    [[nodiscard]] bool begin_or_join(const std::string& key, const request_responder& respond,
                                     monotonic_time now);

    /// @return who writes this request's claim; each begin() of a key after a "not run" has a
    ///         writer of its own, of which only the part after the last '.' differs
    [[nodiscard]] std::string claim_writer(const std::string& key) const;

    /// End a request: tell those who joined, and keep the answer unless it is "not run".
    void finish(const std::string& key, const request_answer& answer, monotonic_time now);

    /// Drop what is too old or too much.
    void expire(monotonic_time now);

    [[nodiscard]] std::size_t size() const;

private:
    /// One key.
    struct record {
        std::string claim_writer;
        int begin_count = 1; ///< times that a request with this key began
        bool in_progress = true;
        std::vector<request_responder> joined_responders;
        std::optional<request_answer> answer; ///< nothing when it did not run
        monotonic_time ended_at;
    };

    void drop_oldest();

    std::unordered_map<std::string, record> records;
    std::deque<std::pair<monotonic_time, std::string>> ended_keys; ///< oldest first
    std::size_t stored_bytes = 0;
};

} // namespace verbenalever
