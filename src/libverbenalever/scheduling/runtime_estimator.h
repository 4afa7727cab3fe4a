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
    /// Take in that a piece of work ran for @p run_time.
    void add(std::string_view team, std::string_view queue, milliseconds run_time);

    /// @param quantile quantile, from zero to one
    /// @return an upper estimate of the quantile, at most half as much again as the true one;
    ///         nothing before there were enough reports
    [[nodiscard]] std::optional<milliseconds>
    estimate(std::string_view team, std::string_view queue, double quantile) const;

    /// Forget a team, e.g. because it was removed.
    void remove_team(std::string_view team);

private:
    static constexpr std::size_t bucket_count = 64;

    struct run_time_histogram {
        std::array<std::uint16_t, bucket_count> counts{};
        std::uint32_t total = 0;
    };
    using by_queue = std::map<std::string, run_time_histogram, std::less<>>;

    std::map<std::string, by_queue, std::less<>> histograms_by_team;
};

} // namespace verbenalever
