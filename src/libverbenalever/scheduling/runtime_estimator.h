#pragma once

#include "loop/clock.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace verbenalever {

/// Learns how long the work of each team in each queue really runs.
///
/// Estimates only steer; what may start is decided by declared sizes and bounds. Older reports
/// fade: counts are halved whenever there are many.
class runtime_estimator {
public:
    /// Take in that a piece of work ran for @p span.
    void report(std::string_view team, std::string_view queue, milliseconds span);

    /// @param part quantile, from zero to one
    /// @return an upper estimate of the quantile, at most half as much again as the true one;
    ///         nothing before there were enough reports
    [[nodiscard]] std::optional<milliseconds> estimate(std::string_view team,
                                                       std::string_view queue, double part) const;

    /// Forget a team, e.g. because it was removed.
    void forget(std::string_view team);

private:
    static constexpr std::size_t buckets = 64;

    struct history {
        std::array<std::uint16_t, buckets> counts{};
        std::uint32_t total = 0;
    };
    using by_queue = std::map<std::string, history, std::less<>>;

    std::map<std::string, by_queue, std::less<>> teams;
};

} // namespace verbenalever
