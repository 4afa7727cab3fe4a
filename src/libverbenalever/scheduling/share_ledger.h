#pragma once

#include "scheduling/team_account.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace verbenalever {

/// Usage and weighted dominant share of each team in the whole fleet.
///
/// Usage on the targets whose leases this entry daemon holds (its targets) is exact; usage on the
/// peers' targets is what they last reported. A team's dominant share is the largest fraction that
/// it uses of any of the fleet's resources. Reads no clock: the caller passes the time, which must
/// not decrease.
class share_ledger {
public:
    using change_listener = std::function<void(std::string_view team)>;
    using weights_by_team = std::map<std::string, double, std::less<>>;

    /// @param time_constant of the exponential average in weighted_share()
    explicit share_ledger(milliseconds time_constant = milliseconds(30'000));

    /// Set the teams' weights; teams that are not contained get weight one.
    void set_weights(const weights_by_team& weights);

    /// Set the fleet's total resources; those of which it has none are ignored in shares.
    void set_capacity(const resources& fleet);

    /// Change a team's usage on this entry daemon's targets.
    /// @param change amounts to add; negative when resources were released
    void add_local_usage(std::string_view team, const resources& change, monotonic_time now);

    /// Replace a team's usage on the targets of one peer.
    void set_peer_usage(std::string_view peer, std::string_view team, const resources& usage,
                        monotonic_time now);

    /// Remove all usage that a peer reported, e.g. because other entry daemons take its targets
    /// over.
    void remove_peer(std::string_view peer, monotonic_time now);

    /// @return the teams with usage on the targets of @p peer, sorted by name, starting at @p from
    [[nodiscard]] std::vector<std::string> teams_reported_by(std::string_view peer,
                                                             std::string_view from) const;

    /// @return the team's usage on this entry daemon's targets
    [[nodiscard]] resources local_usage(std::string_view team) const;

    /// @return the team's usage in the whole fleet
    [[nodiscard]] resources total_usage(std::string_view team) const;

    /// @return the largest fraction that the team uses of any of the fleet's resources, unweighted
    [[nodiscard]] double dominant_share(std::string_view team) const;

    /// @return the sum of the team's current and averaged dominant share, divided by its weight.
    ///         The team with the lowest value starts next.
    ///
    /// Current usage alone does not distinguish teams that have nothing running, which is most of
    /// them when there are more teams than slots. The average alone reacts too late to a burst of
    /// starts.
    [[nodiscard]] double weighted_share(std::string_view team, monotonic_time now) const;

    /// Register a listener that is called with the name of each team whose usage, weight or share
    /// has changed.
    /// @return owner of the listener; destroying it ends the registration
    [[nodiscard]] std::shared_ptr<change_listener> on_change(change_listener listener);

    /// @return all teams that ever had usage or a weight
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
