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
    [[nodiscard]] team_usage changes();

    /// @return every team with something, for a peer that has just come alive
    [[nodiscard]] team_usage complete() const;

private:
    void note_changes(std::set<std::string, std::less<>>& named);
    void add_range(team_usage& message, std::set<std::string, std::less<>>& named);

    share_ledger& ledger;
    std::set<std::string, std::less<>> changed;              ///< here or elsewhere
    std::map<std::string, resources, std::less<>> last_told; ///< what changes() told last
    std::string next_range;
    std::shared_ptr<share_ledger::change_listener> listening;
};

/// Take in what a peer told.
void apply_usage(share_ledger& ledger, std::string_view peer, const team_usage& message,
                 monotonic_time now);

} // namespace verbenalever
