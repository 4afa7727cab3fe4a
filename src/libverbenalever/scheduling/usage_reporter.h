#pragma once

#include "scheduling/share_ledger.h"
#include "scheduling/team_usage.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace verbenalever {

/// Builds the messages in which an entry daemon reports its teams' usage to its peers. Sends
/// nothing itself.
class usage_reporter {
public:
    /// @param ledger whose local usage is reported; must outlive this
    explicit usage_reporter(share_ledger& ledger);

    /// @return the teams whose usage changed since the last call, and the next range of teams
    [[nodiscard]] team_usage next_message();

    /// @return all teams with usage, for a peer that has just become alive
    [[nodiscard]] team_usage full_message() const;

private:
    void collect_changes(std::set<std::string, std::less<>>& included);
    void add_next_range(team_usage& message, std::set<std::string, std::less<>>& included);

    share_ledger& ledger;
    /// Teams whose local or remote usage or weight has changed.
    std::set<std::string, std::less<>> changed_teams;
    std::map<std::string, resources, std::less<>> last_sent; ///< usage in the latest next_message()
    std::string next_range_start;
    std::shared_ptr<share_ledger::change_listener> ledger_subscription;
};

/// Record the usage that @p peer reported. Teams in the message's range that it does not contain
/// have no usage.
void apply_usage(share_ledger& ledger, std::string_view peer, const team_usage& message,
                 monotonic_time now);

} // namespace verbenalever
