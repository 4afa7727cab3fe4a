#pragma once

#include "limits/allotment_book.h"
#include "limits/allotment_wanted.h"
#include "loop/timer.h"
#include "store/kv_listing.h"
#include "store/vm_record.h"

#include <absl/status/statusor.h>

#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace verbenalever {

class configuration_store;
class counters;
class event_log;
class kv_client;
class peer_mesh;
class target_registry;
struct operator_configuration;
struct target_record;
struct team_configuration;

/// Keeps teams within their upper limits, fleet-wide and while cut off.
///
/// Each limit is divided among targets; the division is kept by the platform's service and changed
/// by compare-and-swap only by the holder of the target's lease. A start asks nobody: it needs room
/// in the target's own amount. While the service is down amounts stay as they are.
class team_limit_enforcer {
public:
    team_limit_enforcer(event_loop& loop, std::string name, configuration_store& configuration,
                        kv_client& store, peer_mesh& mesh, target_registry& registry,
                        counters& metrics, const event_log& log);

    /// Guard every start, and begin to follow the kept records.
    void start();

    /// Take in the platform's list of VMs, which tells of targets that are gone for good.
    void apply_vm_list(std::span<const vm_record> vms);

private:
    /// One limited team.
    struct team_state {
        allotment_book book;
        resources limit;
        monotonic_time raises_from;    ///< when every entry has accounted for what ran before
        resources demand;              ///< of starts that were refused; zero for none
        monotonic_time refused_at;     ///< when the last one was
        resources peer_demand;         ///< what a peer asked for; zero for nothing
        monotonic_time peer_demand_at; ///< when it did
        monotonic_time asked_peers;
        std::map<std::string, monotonic_time>
            asking; ///< peers that want the team's limit, and when
    };

    void take_configuration(const operator_configuration& configuration);
    [[nodiscard]] bool may_start(const target_record& target, std::string_view team,
                                 const resources& demand);
    void take_peer_demand(const std::string& from, const allotment_wanted& wanted);
    void list();
    void follow(std::int64_t since);
    void observe(const kv_listing& listing);
    void tick();
    void serve(const std::string& team, team_state& state);
    void plan_and_write(const std::string& team, team_state& state, bool settling);
    [[nodiscard]] allotment_record without_gone_targets(const allotment_record& record) const;
    [[nodiscard]] bool needs_fence(const team_state& state,
                                   std::span<const allotted_target> held) const;
    void write(const std::string& team, team_state& state, allotment_record next,
               std::span<const allotted_target> held);
    void written(const std::string& team, const absl::StatusOr<std::int64_t>& revision);
    void read_back(const std::string& team);
    void ask_peers(const std::string& team, team_state& state);
    [[nodiscard]] std::vector<allotted_target> held_targets(std::string_view team) const;

    std::string name;
    configuration_store& configuration;
    kv_client& store;
    peer_mesh& mesh;
    target_registry& registry;
    counters& metrics;
    const event_log& log;
    std::map<std::string, team_state, std::less<>> teams;
    std::set<std::string> pending; ///< teams to look at on the next tick
    std::int64_t sequence = 0;
    std::map<std::string, monotonic_time, std::less<>> last_listed; ///< targets, by name
    monotonic_time first_list;
    monotonic_time newest_list;
    bool listed = false; ///< whether the kept records were read once
    timer tick_timer;
    timer retry_timer;
};

} // namespace verbenalever
