#pragma once

#include "scheduling/share_ledger.h"
#include "scheduling/team_usage.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace verbenalever {

/// Decides what an entry tells its peers of its teams' use. Pure.
class usage_reporter {
public:
    /// @param ledger must outlive this
    explicit usage_reporter(share_ledger& ledger);

    /// @return the teams that changed since the last call and a range of all
    [[nodiscard]] team_usage next_message();

    /// @return every team with something, for a peer that has just come alive
    [[nodiscard]] team_usage full_message() const;

private:
    void collect_changes(std::set<std::string, std::less<>>& included);
    void add_next_range(team_usage& message, std::set<std::string, std::less<>>& included);

    share_ledger& ledger;
    std::set<std::string, std::less<>> changed_teams;        ///< here or elsewhere
    std::map<std::string, resources, std::less<>> last_sent; ///< what next_message() told last
    std::string next_range_start;
    std::shared_ptr<share_ledger::change_listener> ledger_subscription;
};

/// Take in what a peer told.
void apply_usage(share_ledger& ledger, std::string_view peer, const team_usage& message,
                 monotonic_time now);

} // namespace verbenalever
