#include "scheduling/usage_reporter.h"

namespace verbenalever {

namespace {

/// Teams in the range of one message.
constexpr std::size_t range_teams = 4;

team_usage_entry use_of(const std::string& team, const resources& use)
{
    return {.team = team,
            .slots = use.slots,
            .processors_milli = use.processors_milli,
            .memory_mb = use.memory_mb,
            .accelerators = use.accelerators};
}

} // namespace

usage_reporter::usage_reporter(share_ledger& ledger)
    : ledger(ledger), listening(ledger.on_change([this](std::string_view team) {
          if (!this->changed.contains(team))
              this->changed.emplace(team);
      }))
{
}

team_usage usage_reporter::changes()
{
    team_usage message;
    std::set<std::string, std::less<>> named;
    this->note_changes(named);
    this->add_range(message, named);
    for (const auto& team : named)
        message.teams.push_back(use_of(team, this->ledger.local_usage(team)));
    return message;
}

void usage_reporter::note_changes(std::set<std::string, std::less<>>& named)
{
    for (const auto& team : this->changed) {
        const auto use = this->ledger.local_usage(team);
        const auto told = this->last_told.find(team);
        if (use == (told == this->last_told.end() ? resources{} : told->second))
            continue;
        named.insert(team);
        if (use == resources{})
            this->last_told.erase(told);
        else
            this->last_told[team] = use;
    }
    this->changed.clear();
}

void usage_reporter::add_range(team_usage& message, std::set<std::string, std::less<>>& named)
{
    message.range_from = this->next_range;
    auto place = this->last_told.lower_bound(this->next_range);
    for (std::size_t i = 0; i < range_teams && place != this->last_told.end(); ++i) {
        named.insert(place->first);
        ++place;
    }
    message.range_to_end = place == this->last_told.end();
    this->next_range = message.range_to_end ? std::string() : place->first;
    message.range_before = this->next_range;
}

team_usage usage_reporter::complete() const
{
    team_usage message{.range_to_end = true};
    for (const auto& [team, account] : this->ledger.teams()) {
        if (account.own != resources{})
            message.teams.push_back(use_of(team, account.own));
    }
    return message;
}

void apply_usage(share_ledger& ledger, std::string_view peer, const team_usage& message,
                 monotonic_time now)
{
    std::set<std::string, std::less<>> named;
    for (const auto& team : message.teams) {
        ledger.set_peer_usage(peer, team.team, team.amounts(), now);
        named.insert(team.team);
    }
    for (const auto& team : ledger.teams_reported_by(peer, message.range_from)) {
        if (!message.range_to_end && team >= message.range_before)
            break;
        if (!named.contains(team))
            ledger.set_peer_usage(peer, team, {}, now);
    }
}

} // namespace verbenalever
