#pragma once

#include "limits/allotment_release_request.h"
#include "limits/allotment_tracker.h"
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

/// Enforces teams' upper limits over the whole fleet, also while this entry daemon is partitioned
/// from others.
///
/// Each limit is divided into amounts per target (allotments), stored in the platform's key-value
/// service. Only the holder of a target's lease changes its amount, by compare-and-swap. A start
/// needs no remote call: it is admitted if it fits into the target's amount. While the service is
/// unavailable the amounts do not change.
class team_limit_enforcer {
public:
    team_limit_enforcer(event_loop& loop, std::string name, configuration_store& configuration,
                        kv_client& store, peer_mesh& mesh, target_registry& registry,
                        counters& metrics, const event_log& log);

    /// Check every start against the limits from now on, and start to watch the stored records.
    void start();

    /// Update the times at which targets were last listed by the platform. Targets missing from the
    /// list for long enough lose their allotments.
    void apply_vm_list(std::span<const vm_record> vms);

private:
    /// State of one team that has a limit.
    struct team_state {
        allotment_tracker tracker;
        resources limit;
        monotonic_time settled_at;       ///< until then only current use is allotted
        resources demand;                ///< largest start refused since the last write; zero: none
        monotonic_time start_refused_at; ///< when a start was last refused
        resources peer_demand;           ///< amount that a peer requested; zero: none
        monotonic_time peer_demand_at;   ///< when the peer requested it
        monotonic_time peers_asked_at;
        std::map<std::string, monotonic_time>
            requesting_peers; ///< when each peer last requested a release
    };

    void apply_configuration(const operator_configuration& configuration);
    [[nodiscard]] bool may_start(const target_record& target, std::string_view team,
                                 const resources& demand);
    void apply_release_request(const std::string& from, const allotment_release_request& wanted);
    void read_records();
    void watch_records(std::int64_t since);
    void apply_listing(const kv_listing& listing);
    void tick();
    void process_team(const std::string& team, team_state& state);
    void plan_and_write(const std::string& team, team_state& state, bool settling);
    [[nodiscard]] allotment_record without_removed_targets(const allotment_record& record) const;
    [[nodiscard]] bool needs_fence(const team_state& state,
                                   std::span<const allotted_target> held) const;
    void write_record(const std::string& team, team_state& state, allotment_record next,
                      std::span<const allotted_target> held);
    void on_record_written(const std::string& team, const absl::StatusOr<std::int64_t>& revision);
    void reread_record(const std::string& team);
    void request_release_from_peers(const std::string& team, team_state& state);
    [[nodiscard]] std::vector<allotted_target> held_targets(std::string_view team) const;

    std::string name;
    configuration_store& configuration;
    kv_client& store;
    peer_mesh& mesh;
    target_registry& registry;
    counters& metrics;
    const event_log& log;
    std::map<std::string, team_state, std::less<>> teams;
    std::set<std::string> pending_teams; ///< teams to process on the next tick
    std::int64_t sequence = 0;
    std::map<std::string, monotonic_time, std::less<>> target_last_listed_at; ///< by target
    monotonic_time first_vm_list_at;
    monotonic_time newest_vm_list_at;
    bool watching_records = false; ///< whether a watch of the records is running
    timer tick_timer;
    timer retry_timer;
};

} // namespace verbenalever
