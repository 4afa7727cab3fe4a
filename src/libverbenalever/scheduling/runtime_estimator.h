#pragma once

#include "loop/clock.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace verbenalever {

/// Estimates how long work runs from the measured run times, for each team and queue.
///
/// Estimates may only influence the order of choices; whether work may start depends on its
/// declared demand and maximum run time. Older samples lose weight: all counts are halved whenever
/// their total reaches a maximum.
class runtime_estimator {
public:
    /// Add the run time of one piece of work.
    void add(std::string_view team, std::string_view queue, milliseconds run_time);

    /// @param quantile from zero to one
    /// @return an upper bound of the quantile, at most 1.5 times the true one; nothing until there
    ///         are enough samples
    [[nodiscard]] std::optional<milliseconds>
    estimate(std::string_view team, std::string_view queue, double quantile) const;

    /// Remove the samples of a team, e.g. because the team was removed.
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
