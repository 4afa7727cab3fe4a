#pragma once

#include "loop/clock.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace verbenalever {

/// Limits the rate of wrong keys by source address, with one token bucket for each source. Valid
/// keys are not counted or limited, so they work even when others at the same address send wrong
/// keys.
class wrong_key_limiter {
public:
    /// Number of wrong keys that a source may send at once: the size of its bucket.
    static constexpr double burst = 20;
    /// Wrong keys per second that a source may send in the long run.
    static constexpr double rate = 1;

    /// Count one wrong key.
    /// @param source IP address
    /// @return how long the source has to wait; empty while it is within its limit
    [[nodiscard]] std::optional<milliseconds> count(std::string_view source, monotonic_time now);

    /// @return number of sources that have a bucket
    [[nodiscard]] std::size_t size() const;

private:
    /// Tokens that a source had left at the time updated_at.
    struct bucket {
        double tokens = burst;
        monotonic_time updated_at;

        [[nodiscard]] double tokens_at(monotonic_time now) const;
    };

    void remove_idle(monotonic_time now);

    std::map<std::string, bucket, std::less<>> buckets;
};

} // namespace verbenalever
