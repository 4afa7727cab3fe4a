// Past use of the teams: accounting, the shift of due times that follows from it, and its storage.

#include "coordination/commit_chain.h"
#include "coordinator/coordinator.h"
#include "ports/metadata_store.h"
#include "scheduling/usage_history.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace verbenalever {

namespace {

/// How often the shifts of the teams are computed.
constexpr milliseconds shift_update_interval{1000};
/// Wait before the stored use is read again after a failure.
constexpr milliseconds retry_wait{200};
/// Teams in each line of the log.
constexpr std::size_t logged_teams = 5;

} // namespace

std::string coordinator::past_use_key() const
{
    return this->env.prefix + "u/teams";
}

void coordinator::load_past_use()
{
    if (!this->past_use)
        return;
    this->env.store.read(this->past_use_key(), [this, alive = this->alive](auto stored) {
        if (!*alive)
            return;
        if (!stored.ok()) {
            this->env.log.write("coordinator", "load_retried",
                                {{"prefix", this->past_use_key()},
                                 {"reason", std::string(stored.status().message())}});
            this->past_use_timer =
                std::make_unique<timer>(this->env.loop, [this] { this->load_past_use(); });
            this->past_use_timer->start_once(retry_wait);
            return;
        }
        this->restore_past_use(*stored ? std::optional((*stored)->value) : std::nullopt);
    });
}

void coordinator::restore_past_use(const std::optional<std::string>& stored)
{
    const auto now = boot_time();
    const auto status = stored ? this->past_use->restore(*stored, now, wall_microseconds() / 1000)
                               : absl::NotFoundError("nothing is stored");
    this->update_past_use();
    this->env.log.write("coordinator", status.ok() ? "past_use_loaded" : "past_use_not_loaded",
                        {{"key", this->past_use_key()},
                         {"bytes", stored ? stored->size() : 0},
                         {"teams_shifted", this->past_use->shifted_teams()},
                         {"reason", std::string(status.message())}});
    // Written only from now on: the stored use of earlier coordinators would be lost otherwise.
    this->past_use_stored_at = now;
    this->past_use_timer = std::make_unique<timer>(this->env.loop, [this] {
        this->update_past_use();
        this->store_past_use();
    });
    this->past_use_timer->start_repeating(
        std::min(shift_update_interval, this->env.past_use_store_interval));
}

void coordinator::update_past_use()
{
    std::vector<usage_history::team_weight> teams;
    teams.reserve(this->configuration->teams.size());
    for (const auto& team : this->configuration->teams)
        teams.push_back({team.name, team.weight});
    this->past_use->update_shifts(teams, boot_time());
    const auto largest = this->past_use->largest(1);
    this->env.metrics.set(
        "team_past_use",
        largest.empty() ? 0 : static_cast<std::int64_t>(largest.front().core_seconds));
    this->env.metrics.set("teams_shifted",
                          static_cast<std::int64_t>(this->past_use->shifted_teams()));
}

void coordinator::store_past_use()
{
    const auto now = boot_time();
    if (now - this->past_use_stored_at < this->env.past_use_store_interval ||
        !this->past_use->changed())
        return;
    this->past_use_stored_at = now;
    this->chain.put(
        this->past_use_key(),
        [text = this->past_use->encode(now, wall_microseconds() / 1000)] { return text; }, false,
        {});
}

void coordinator::count_run(const workflow& owner, const resources& need)
{
    this->usage_by_team.add_run(owner.record.team, need, owner.urgent());
    if (this->past_use)
        this->past_use->add_run(owner.record.team, need.processors_milli, boot_time());
}

void coordinator::uncount_run(const workflow& owner, const resources& need)
{
    this->usage_by_team.remove_run(owner.record.team, need, owner.urgent());
    if (this->past_use)
        this->past_use->remove_run(owner.record.team, need.processors_milli, boot_time());
}

milliseconds coordinator::due_shift_of(const workflow& owner, std::uint32_t step_index) const
{
    if (!this->past_use)
        return milliseconds(0);
    // A gang that holds reservations keeps its place among those that do.
    const auto& step = owner.steps[step_index];
    if (step.in_ready_list && !step.reserved.empty())
        return step.due_shift;
    return this->past_use->due_shift(owner.record.team, owner.objective);
}

void coordinator::log_past_use()
{
    if (!this->past_use)
        return;
    std::vector<std::string> teams;
    for (const auto& [team, core_seconds, shift_part] : this->past_use->largest(logged_teams))
        teams.push_back(fmt::format("{}:{:.0f}:{:.2f}", team, core_seconds,
                                    shift_part * usage_history::greatest_shift));
    this->env.log.write("coordinator", "past_use",
                        {{"largest", fmt::format("{}", fmt::join(teams, " "))},
                         {"teams_shifted", this->past_use->shifted_teams()}});
}

} // namespace verbenalever
