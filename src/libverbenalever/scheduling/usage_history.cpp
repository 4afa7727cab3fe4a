#include "scheduling/usage_history.h"

#include "membership/message_codec.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numbers>

namespace verbenalever {

namespace {

/// Shifts are multiples of this part of the greatest one, so that waiting work changes its place
/// only when a team's use has changed noticeably.
constexpr double shift_steps = 16;

constexpr double milli = 1000;

struct stored_team {
    std::string team;
    double core_seconds = 0;

    MSGPACK_DEFINE(team, core_seconds)
};

/// Fields are added at the end: decoding ignores further ones.
struct stored_history {
    std::int64_t wall_ms = 0; ///< milliseconds since the Unix epoch of the encoding
    std::vector<stored_team> teams;

    MSGPACK_DEFINE(wall_ms, teams)
};

double in_seconds(milliseconds span)
{
    return static_cast<double>(span.count()) / milli;
}

/// @param ratio use per unit of weight, relative to that of all teams
double shift_part_of(double ratio)
{
    const auto part = (ratio - usage_history::dead_zone_ratio) /
                      (usage_history::full_shift_ratio - usage_history::dead_zone_ratio);
    return std::round(std::clamp(part, 0.0, 1.0) * shift_steps) / shift_steps;
}

} // namespace

usage_history::usage_history(milliseconds half_life) : half_life_s(in_seconds(half_life)) {}

void usage_history::advance(team_entry& entry, milliseconds now) const
{
    const auto elapsed_s = in_seconds(std::max(milliseconds(0), now - entry.as_of));
    const auto kept = std::exp2(-elapsed_s / this->half_life_s);
    // The use of the time between decays as well: the integral of a constant rate.
    const auto cores = static_cast<double>(entry.processors_milli) / milli;
    const auto used = cores * (1 - kept) * this->half_life_s / std::numbers::ln2;
    entry.core_seconds = entry.core_seconds * kept + used;
    entry.as_of = std::max(entry.as_of, now);
}

usage_history::team_entry& usage_history::advanced_entry(std::string_view team, milliseconds now)
{
    auto found = this->entries.find(team);
    if (found == this->entries.end())
        found = this->entries.emplace(team, team_entry{.as_of = now}).first;
    this->advance(found->second, now);
    return found->second;
}

void usage_history::add_run(std::string_view team, std::int64_t processors_milli, milliseconds now)
{
    this->advanced_entry(team, now).processors_milli += processors_milli;
    this->running_processors_milli += processors_milli;
}

void usage_history::remove_run(std::string_view team, std::int64_t processors_milli,
                               milliseconds now)
{
    this->advanced_entry(team, now).processors_milli -= processors_milli;
    this->running_processors_milli -= processors_milli;
    this->used_since_encoded = true;
}

void usage_history::update_shifts(std::span<const team_weight> teams, milliseconds now)
{
    std::map<std::string_view, double> weights;
    for (const auto& [team, weight] : teams)
        weights.emplace(team, weight);
    double all_used = 0;
    double all_weights = 0;
    for (auto& [team, entry] : this->entries) {
        this->advance(entry, now);
        const auto found = weights.find(team);
        if (found == weights.end() || entry.core_seconds < negligible_core_seconds)
            continue;
        all_used += entry.core_seconds;
        all_weights += found->second;
    }
    std::erase_if(this->entries, [&weights](const auto& item) {
        return !weights.contains(item.first) && item.second.processors_milli == 0 &&
               item.second.core_seconds < negligible_core_seconds;
    });
    for (auto& [team, entry] : this->entries) {
        const auto found = weights.find(team);
        entry.shift_part = 0;
        if (found == weights.end() || found->second <= 0 ||
            entry.core_seconds < negligible_core_seconds)
            continue;
        entry.shift_part =
            shift_part_of(entry.core_seconds / found->second / (all_used / all_weights));
    }
}

milliseconds usage_history::due_shift(std::string_view team, milliseconds objective) const
{
    const auto found = this->entries.find(team);
    if (found == this->entries.end())
        return milliseconds(0);
    return milliseconds(static_cast<std::int64_t>(static_cast<double>(objective.count()) *
                                                  greatest_shift * found->second.shift_part));
}

std::vector<usage_history::team_use> usage_history::largest(std::size_t count) const
{
    std::vector<team_use> uses;
    uses.reserve(this->entries.size());
    for (const auto& [team, entry] : this->entries)
        uses.push_back({team, entry.core_seconds, entry.shift_part});
    std::ranges::stable_sort(uses, std::greater{}, &team_use::core_seconds);
    uses.resize(std::min(count, uses.size()));
    return uses;
}

std::size_t usage_history::shifted_teams() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->entries, [](const auto& item) { return item.second.shift_part > 0; }));
}

bool usage_history::changed() const
{
    return this->used_since_encoded || this->running_processors_milli > 0;
}

std::string usage_history::encode(milliseconds now, std::int64_t wall_ms)
{
    stored_history history{.wall_ms = wall_ms};
    for (auto& [team, entry] : this->entries) {
        this->advance(entry, now);
        history.teams.push_back({team, entry.core_seconds});
    }
    this->used_since_encoded = false;
    return pack_message(history);
}

absl::Status usage_history::restore(std::string_view text, milliseconds now, std::int64_t wall_ms)
{
    const auto history = unpack_message<stored_history>(text);
    if (!history.ok())
        return absl::InvalidArgumentError("malformed history of use");
    for (const auto& [team, core_seconds] : history->teams) {
        if (!std::isfinite(core_seconds) || core_seconds < 0)
            return absl::InvalidArgumentError("use in the history of use is out of range");
    }
    // The clocks of two VMs differ: a time in the future is the present one.
    const auto age_s =
        static_cast<double>(std::max<std::int64_t>(0, wall_ms - history->wall_ms)) / milli;
    const auto kept = std::exp2(-age_s / this->half_life_s);
    for (const auto& [team, core_seconds] : history->teams)
        this->advanced_entry(team, now).core_seconds += core_seconds * kept;
    return absl::OkStatus();
}

} // namespace verbenalever
