#pragma once

#include "loop/clock.h"

#include <absl/status/status.h>

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace verbenalever {

/// The processor time that each team has used, decaying with a half-life, and the delay in the
/// order of waiting work that follows from it.
///
/// A team whose use per unit of weight is well above that of all teams together has the due times
/// of its waiting work shifted by a part of their latency objective. Has no clock: callers pass the
/// time since boot, which must not decrease.
class usage_history {
public:
    /// A team of the configuration.
    struct team_weight {
        std::string_view team;
        double weight = 1;
    };

    /// What a team has used, for logs.
    struct team_use {
        std::string team;
        double core_seconds = 0; ///< decayed
        double shift_part = 0;   ///< part of the greatest shift, 0 to 1
    };

    /// Use per unit of weight, relative to that of all teams, up to which nothing is shifted.
    static constexpr double dead_zone_ratio = 1.5;
    /// The same from which on the shift is greatest.
    static constexpr double full_shift_ratio = 3;
    /// Greatest shift of a due time, as a part of the latency objective.
    static constexpr double greatest_shift = 0.5;
    /// Teams that have used less, in decayed core-seconds, count as teams that have used nothing.
    static constexpr double negligible_core_seconds = 1;

    /// @param half_life time after which use counts half; greater than 0
    explicit usage_history(milliseconds half_life);

    /// Count the processors of a run of the team from @p now on, or no longer.
    void add_run(std::string_view team, std::int64_t processors_milli, milliseconds now);
    void remove_run(std::string_view team, std::int64_t processors_milli, milliseconds now);

    /// Compute the shifts of all teams. A team that is not in @p teams has none, and is forgotten
    /// once its use is negligible and nothing of it runs.
    void update_shifts(std::span<const team_weight> teams, milliseconds now);

    /// @return shift of the due time of the team's work, as of the last update_shifts(); at most
    ///         greatest_shift times @p objective
    [[nodiscard]] milliseconds due_shift(std::string_view team, milliseconds objective) const;

    /// @return the teams that had used most at the last update_shifts(), in decreasing order
    [[nodiscard]] std::vector<team_use> largest(std::size_t count) const;

    /// @return number of teams whose work is shifted
    [[nodiscard]] std::size_t shifted_teams() const;

    /// @return whether anything was used since the last encode(); decay alone is no change, as it
    ///         follows from the time of the encoding
    [[nodiscard]] bool changed() const;

    /// @param wall_ms milliseconds since the Unix epoch, which the reader decays from
    /// @return what all teams have used, for restore() in this or another process
    [[nodiscard]] std::string encode(milliseconds now, std::int64_t wall_ms);

    /// Add what an earlier process has encoded.
    /// @param wall_ms milliseconds since the Unix epoch
    /// @return INVALID_ARGUMENT when @p text is malformed; nothing is added then
    [[nodiscard]] absl::Status restore(std::string_view text, milliseconds now,
                                       std::int64_t wall_ms);

private:
    struct team_entry {
        double core_seconds = 0;           ///< decayed to the time as_of
        milliseconds as_of{0};             ///< time since boot
        std::int64_t processors_milli = 0; ///< of its present runs
        double shift_part = 0;             ///< part of the greatest shift, 0 to 1
    };

    /// @return the team's entry, decayed and accounted up to @p now
    team_entry& advanced_entry(std::string_view team, milliseconds now);
    /// Decay what was used, and add what the present runs have used since as_of.
    void advance(team_entry& entry, milliseconds now) const;

    double half_life_s;
    std::map<std::string, team_entry, std::less<>> entries;
    std::int64_t running_processors_milli = 0; ///< of all teams
    bool used_since_encoded = false;
};

} // namespace verbenalever
