#pragma once

#include "scheduling/team_account.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace verbenalever {

/// Weighted dominant shares of the teams, fleet-wide: own use exactly, the peers' as last reported.
///
/// Pure: the caller passes the time, which must not go back.
class share_ledger {
public:
    using change_listener = std::function<void(std::string_view team)>;
    using weights_by_team = std::map<std::string, double, std::less<>>;

    /// @param memory time constant of the average that weighted_share() takes in
    explicit share_ledger(milliseconds time_constant = milliseconds(30'000));

    /// Set the teams' weights; teams that are not named weigh one.
    void set_weights(const weights_by_team& weights);

    /// Set what the fleet has; resources of which it has none count for nothing.
    void set_capacity(const resources& fleet);

    /// Count a change of what a team has on this entry's targets.
    /// @param change what was taken; negative resource_fields were given back
    void add_local_usage(std::string_view team, const resources& change, monotonic_time now);

    /// Replace what a peer said that a team has on its targets.
    void set_peer_usage(std::string_view peer, std::string_view team, const resources& usage,
                        monotonic_time now);

    /// Forget all that a peer said, e.g. because its targets go to other entries.
    void remove_peer(std::string_view peer, monotonic_time now);

    /// @return the teams that a peer said have something, in order, from the name @p from on
    [[nodiscard]] std::vector<std::string> teams_reported_by(std::string_view peer,
                                                             std::string_view from) const;

    /// @return what the team has on this entry's targets
    [[nodiscard]] resources local_usage(std::string_view team) const;

    /// @return what the team has over the fleet
    [[nodiscard]] resources total_usage(std::string_view team) const;

    /// @return the greatest part that the team has of any resource, unweighted
    [[nodiscard]] double dominant_share(std::string_view team) const;

    /// How well a team is served for its weight; the next start goes to the lowest.
    ///
    /// The sum of present and averaged dominant share, by weight. Present use alone cannot tell
    /// teams apart that have nothing running just now, as most have when there are more teams than
    /// slots; the average alone sees a burst of starts too late.
    [[nodiscard]] double weighted_share(std::string_view team, monotonic_time now) const;

    /// Be reported the name of each team whose use or weight changes.
    /// @return keeps the listener on while it lives
    [[nodiscard]] std::shared_ptr<change_listener> on_change(change_listener listener);

    /// @return every team with use or a weight
    [[nodiscard]] const std::map<std::string, team_account, std::less<>>& teams() const;

private:
    using usage_by_team = std::map<std::string, resources, std::less<>>;

    [[nodiscard]] team_account& account_for(std::string_view team);
    [[nodiscard]] double dominant_share_of(const team_account& account) const;
    [[nodiscard]] double average_share_at(const team_account& account, monotonic_time now) const;
    void update_average(team_account& account, monotonic_time now) const;
    void notify(std::string_view team);

    double time_constant_seconds;
    resources fleet_total{.slots = 1};
    std::map<std::string, team_account, std::less<>> accounts;
    std::map<std::string, usage_by_team, std::less<>> usage_by_peer;
    std::vector<std::weak_ptr<change_listener>> listeners;
};

} // namespace verbenalever
