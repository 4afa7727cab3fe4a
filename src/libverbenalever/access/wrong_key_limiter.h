#pragma once

#include "loop/clock.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace verbenalever {

/// Limits how often one source is told that its key is wrong: a token bucket each. Right keys never
/// come here, so they are never refused for what others at the same address do.
class wrong_key_limiter {
public:
    /// Wrong keys that a source may present at once.
    static constexpr double burst = 20;
    /// Wrong keys a second that it may go on with.
    static constexpr double rate = 1;

    /// Count one wrong key.
    /// @param source IP address
    /// @return how long the source should wait; nothing while it is within its rate
    [[nodiscard]] std::optional<milliseconds> count(std::string_view source, monotonic_time now);

    /// @return sources remembered
    [[nodiscard]] std::size_t size() const;

private:
    /// Tokens that a source had left at a time.
    struct bucket {
        double tokens = burst;
        monotonic_time updated_at;

        [[nodiscard]] double tokens_at(monotonic_time now) const;
    };

    void remove_idle(monotonic_time now);

    std::map<std::string, bucket, std::less<>> buckets;
};

} // namespace verbenalever
