#include "scheduling/usage_reporter.h"

namespace verbenalever {

namespace {

/// Number of teams in the range of one message.
constexpr std::size_t teams_per_range = 4;

team_usage_entry make_entry(const std::string& team, const resources& usage)
{
    return {.team = team,
            .slots = usage.slots,
            .processors_milli = usage.processors_milli,
            .memory_mb = usage.memory_mb,
            .accelerators = usage.accelerators};
}

} // namespace

usage_reporter::usage_reporter(share_ledger& ledger)
    : ledger(ledger), ledger_subscription(ledger.on_change([this](std::string_view team) {
          if (!this->changed_teams.contains(team))
              this->changed_teams.emplace(team);
      }))
{
}

team_usage usage_reporter::next_message()
{
    team_usage message;
    std::set<std::string, std::less<>> included;
    this->collect_changes(included);
    this->add_next_range(message, included);
    for (const auto& team : included)
        message.teams.push_back(make_entry(team, this->ledger.local_usage(team)));
    return message;
}

void usage_reporter::collect_changes(std::set<std::string, std::less<>>& included)
{
    for (const auto& team : this->changed_teams) {
        const auto usage = this->ledger.local_usage(team);
        const auto sent = this->last_sent.find(team);
        if (usage == (sent == this->last_sent.end() ? resources{} : sent->second))
            continue;
        included.insert(team);
        if (usage == resources{})
            this->last_sent.erase(sent);
        else
            this->last_sent[team] = usage;
    }
    this->changed_teams.clear();
}

void usage_reporter::add_next_range(team_usage& message,
                                    std::set<std::string, std::less<>>& included)
{
    message.range_from = this->next_range_start;
    auto entry = this->last_sent.lower_bound(this->next_range_start);
    for (std::size_t i = 0; i < teams_per_range && entry != this->last_sent.end(); ++i) {
        included.insert(entry->first);
        ++entry;
    }
    message.range_to_end = entry == this->last_sent.end();
    this->next_range_start = message.range_to_end ? std::string() : entry->first;
    message.range_before = this->next_range_start;
}

team_usage usage_reporter::full_message() const
{
    team_usage message{.range_to_end = true};
    for (const auto& [team, account] : this->ledger.teams()) {
        if (account.local != resources{})
            message.teams.push_back(make_entry(team, account.local));
    }
    return message;
}

void apply_usage(share_ledger& ledger, std::string_view peer, const team_usage& message,
                 monotonic_time now)
{
    std::set<std::string, std::less<>> included;
    for (const auto& team : message.teams) {
        ledger.set_peer_usage(peer, team.team, team.amounts(), now);
        included.insert(team.team);
    }
    for (const auto& team : ledger.teams_reported_by(peer, message.range_from)) {
        if (!message.range_to_end && team >= message.range_before)
            break;
        if (!included.contains(team))
            ledger.set_peer_usage(peer, team, {}, now);
    }
}

} // namespace verbenalever
