#include "limits/team_limit_enforcer.h"

#include "configuration/configuration_store.h"
#include "limits/allotment_planner.h"
#include "limits/resource_arithmetic.h"
#include "limits/team_key.h"
#include "membership/peer_mesh.h"
#include "store/kv_client.h"
#include "targets/target_registry.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"

#include <fmt/format.h>

#include <algorithm>

namespace verbenalever {

namespace {

constexpr std::string_view key_prefix = "allotments/";
constexpr milliseconds tick_interval{100};
constexpr milliseconds watch_wait{20000};
constexpr milliseconds retry_delay{500};
constexpr milliseconds peer_request_interval{500};

/// Demand of refused starts is dropped when no start was refused for this long.
constexpr milliseconds demand_lifetime{1000};

/// A peer counts as competing for the limit for this long after its last request.
constexpr milliseconds peer_request_lifetime{5000};

/// A target that the platform has not listed for this long no longer exists, nor do its tasks.
constexpr milliseconds removed_after{60000};
/// With an older VM list no target is considered removed.
constexpr milliseconds max_vm_list_age{5000};

/// For this long after a limit was added or changed, entry daemons only raise amounts to their
/// current use; the rest of the limit is allotted afterwards.
constexpr milliseconds settling_time{2500};

/// Upper bound on this entry daemon's concurrent writes, so that a change of many limits at once
/// does not cause a burst of writes.
constexpr std::size_t max_writes_in_flight = 8;

std::string store_key(std::string_view team)
{
    return fmt::format("{}{}", key_prefix, encode_team_key(team));
}

} // namespace

team_limit_enforcer::team_limit_enforcer(event_loop& loop, std::string name,
                                         configuration_store& configuration, kv_client& store,
                                         peer_mesh& mesh, target_registry& registry,
                                         counters& metrics, const event_log& log)
    : name(std::move(name)), configuration(configuration), store(store), mesh(mesh),
      registry(registry), metrics(metrics), log(log), tick_timer(loop, [this] { this->tick(); }),
      retry_timer(loop, [this] { this->read_records(); })
{
}

void team_limit_enforcer::start()
{
    this->configuration.on_change([this](const operator_configuration& configuration) {
        this->apply_configuration(configuration);
    });
    this->registry.set_start_guard(
        [this](const target_record& target, std::string_view team, const resources& demand) {
            return this->may_start(target, team, demand);
        });
    this->mesh.on<allotment_release_request>(
        [this](const std::string& from, const allotment_release_request& wanted) {
            this->apply_release_request(from, wanted);
        });
    this->tick_timer.start_repeating(tick_interval);
    this->read_records();
}

void team_limit_enforcer::apply_configuration(const operator_configuration& configuration)
{
    std::erase_if(this->teams, [&configuration](const auto& entry) {
        const auto found = configuration.teams.find(entry.first);
        return found == configuration.teams.end() || !found->second.limit;
    });
    bool limit_added = false;
    for (const auto& [team, settings] : configuration.teams) {
        if (!settings.limit)
            continue;
        const auto [entry, added] = this->teams.try_emplace(team);
        auto& state = entry->second;
        limit_added = limit_added || added;
        if (!added && state.limit == *settings.limit)
            continue;
        state.limit = *settings.limit;
        state.settled_at = monotonic_clock::now() + settling_time;
        this->pending_teams.insert(team);
    }
    if (limit_added)
        this->read_records();
}

bool team_limit_enforcer::may_start(const target_record& target, std::string_view team,
                                    const resources& demand)
{
    const auto found = this->teams.find(team);
    if (found == this->teams.end())
        return true;
    auto& state = found->second;
    const auto used = target.reserved_by_team.find(team);
    const allotted_target allotted{.name = target.vm.name,
                                   .epoch = target.lease_epoch,
                                   .use = used == target.reserved_by_team.end() ? resources{}
                                                                                : used->second,
                                   .free = target.free()};
    if ((allotted.use + demand).fits_within(state.tracker.usable_amount(allotted, state.limit)))
        return true;
    if (state.demand == resources{})
        this->pending_teams.insert(found->first);
    state.demand = componentwise_max(state.demand, demand);
    state.start_refused_at = monotonic_clock::now();
    this->metrics.add("starts_held_by_limit");
    return false;
}

void team_limit_enforcer::apply_release_request(const std::string& from,
                                                const allotment_release_request& wanted)
{
    const auto found = this->teams.find(wanted.team);
    if (found == this->teams.end())
        return;
    found->second.peer_demand = wanted.demand;
    found->second.peer_demand_at = monotonic_clock::now();
    found->second.requesting_peers[from] = found->second.peer_demand_at;
    this->pending_teams.insert(wanted.team);
}

void team_limit_enforcer::read_records()
{
    this->store.list(key_prefix, [this](absl::StatusOr<kv_listing> listing) {
        if (!listing.ok())
            return this->retry_timer.start_once(retry_delay);
        this->apply_listing(*listing);
        if (!this->watching_records) {
            this->watching_records = true;
            this->watch_records(listing->revision);
        }
    });
}

void team_limit_enforcer::watch_records(std::int64_t since)
{
    this->store.watch(key_prefix, since, watch_wait, [this](absl::StatusOr<kv_listing> changes) {
        if (!changes.ok()) {
            this->watching_records = false;
            return this->retry_timer.start_once(retry_delay);
        }
        this->apply_listing(*changes);
        this->watch_records(changes->revision);
    });
}

void team_limit_enforcer::apply_listing(const kv_listing& listing)
{
    for (const auto& entry : listing.entries) {
        const auto team = decode_team_key(std::string_view(entry.key).substr(key_prefix.size()));
        const auto found = this->teams.find(team);
        if (found == this->teams.end() || entry.deleted)
            continue;
        if (auto record = allotment_record::parse(entry.value); record.ok())
            found->second.tracker.apply_record(*std::move(record), entry.revision);
        else
            this->log.write("limits", "allotment_unreadable", {{"team", team}});
    }
}

void team_limit_enforcer::tick()
{
    std::size_t pending_writes = 0;
    for (const auto& [team, state] : this->teams)
        pending_writes += state.tracker.write_pending() ? 1 : 0;
    auto teams_due = std::move(this->pending_teams);
    this->pending_teams.clear();
    for (const auto& team : teams_due) {
        const auto found = this->teams.find(team);
        if (found == this->teams.end())
            continue;
        if (found->second.tracker.write_pending() || pending_writes >= max_writes_in_flight) {
            this->pending_teams.insert(team);
            continue;
        }
        this->process_team(team, found->second);
        pending_writes += found->second.tracker.write_pending() ? 1 : 0;
    }
}

void team_limit_enforcer::process_team(const std::string& team, team_state& state)
{
    const auto now = monotonic_clock::now();
    const bool settling = now < state.settled_at;
    const bool above_limit =
        !drop_unlimited(state.tracker.total(), state.limit).fits_within(state.limit);
    if (state.demand != resources{} && now - state.start_refused_at > demand_lifetime) {
        state.demand = {};
        this->registry
            .clear_refusals(); // starts that still wait are refused again and renew the demand
    }
    if (now - state.peer_demand_at > demand_lifetime)
        state.peer_demand = {};
    std::erase_if(state.requesting_peers,
                  [now](const auto& peer) { return now - peer.second > peer_request_lifetime; });
    this->plan_and_write(team, state, settling);
    const bool peer_demand_waits = state.peer_demand != resources{};
    if (settling || above_limit || peer_demand_waits || state.demand != resources{})
        this->pending_teams.insert(team);
}

void team_limit_enforcer::plan_and_write(const std::string& team, team_state& state, bool settling)
{
    const auto held = this->held_targets(team);
    const auto base = this->without_removed_targets(state.tracker.record());
    const bool start_refused = state.demand != resources{};
    const allotment_plan_input request{.limit = state.limit,
                                       .demand = state.demand,
                                       .peer_demand = state.peer_demand,
                                       .sharing_entries = 1 + std::ssize(state.requesting_peers),
                                       .cover_use_only = settling};
    state.tracker.set_ceilings(plan_ceilings(base, held, request));
    auto next = plan_allotments(base, held, request);
    const bool removes_targets = base.amounts != state.tracker.record().amounts;
    if (!next && (removes_targets || (start_refused && this->needs_fence(state, held))))
        next = base;
    if (next && !base.total().fits_within(next->total()))
        state.peer_demand = {}; // released in part; a peer that needs more requests it again
    if (next)
        this->write_record(team, state, *std::move(next), held);
    else if (start_refused && !settling)
        this->request_release_from_peers(team, state);
}

void team_limit_enforcer::apply_vm_list(std::span<const vm_record> vms)
{
    this->newest_vm_list_at = monotonic_clock::now();
    if (this->first_vm_list_at == monotonic_time())
        this->first_vm_list_at = this->newest_vm_list_at;
    for (const auto& vm : vms) {
        if (vm.role == vm_role::target)
            this->target_last_listed_at[vm.name] = this->newest_vm_list_at;
    }
}

allotment_record team_limit_enforcer::without_removed_targets(const allotment_record& record) const
{
    const auto now = monotonic_clock::now();
    if (now - this->newest_vm_list_at > max_vm_list_age)
        return record;
    auto result = record;
    std::erase_if(result.amounts, [this, now](const auto& entry) {
        const auto listed = this->target_last_listed_at.find(entry.first);
        const auto last_seen_at =
            listed == this->target_last_listed_at.end() ? this->first_vm_list_at : listed->second;
        return now - last_seen_at > removed_after;
    });
    return result;
}

bool team_limit_enforcer::needs_fence(const team_state& state,
                                      std::span<const allotted_target> held) const
{
    return std::ranges::any_of(held, [&state](const allotted_target& target) {
        const auto& tracker = state.tracker;
        return !tracker.fenced(target.name, target.epoch) &&
               !tracker.record().amount_of(target.name).fits_within(target.use);
    });
}

void team_limit_enforcer::write_record(const std::string& team, team_state& state,
                                       allotment_record next, std::span<const allotted_target> held)
{
    next.writer = this->name;
    next.sequence = ++this->sequence;
    this->metrics.add("allotment_writes");
    state.tracker.begin_write(next, held);
    this->store.put(store_key(team), next.text(), state.tracker.revision(),
                    [this, team](const absl::StatusOr<std::int64_t>& revision) {
                        this->on_record_written(team, revision);
                    });
}

void team_limit_enforcer::on_record_written(const std::string& team,
                                            const absl::StatusOr<std::int64_t>& revision)
{
    const auto found = this->teams.find(team);
    if (found == this->teams.end() || !found->second.tracker.write_pending())
        return;
    if (revision.ok()) {
        found->second.tracker.write_committed(*revision);
        found->second.demand = {}; // starts that still do not fit are refused again and renew it
        this->log.write("limits", "allotments_kept", {{"team", team}, {"revision", *revision}});
        this->registry.clear_refusals();
        return;
    }
    this->reread_record(team);
}

void team_limit_enforcer::reread_record(const std::string& team)
{
    this->store.get(store_key(team), [this, team](const absl::StatusOr<kv_entry>& entry) {
        const auto found = this->teams.find(team);
        if (found == this->teams.end())
            return;
        auto& tracker = found->second.tracker;
        const auto record = entry.ok() ? allotment_record::parse(entry->value) : entry.status();
        if (record.ok() && tracker.write_pending() && tracker.is_last_sent(*record))
            tracker.write_committed(entry->revision);
        else if (record.ok())
            tracker.apply_record(*record, entry->revision);
        if (tracker.write_pending())
            tracker.write_failed();
        this->registry.clear_refusals();
    });
}

void team_limit_enforcer::request_release_from_peers(const std::string& team, team_state& state)
{
    const auto now = monotonic_clock::now();
    if (now - state.peers_asked_at < peer_request_interval)
        return;
    state.peers_asked_at = now;
    this->mesh.broadcast(allotment_release_request{.team = team, .demand = state.demand});
}

std::vector<allotted_target> team_limit_enforcer::held_targets(std::string_view team) const
{
    const auto now = monotonic_clock::now();
    std::vector<allotted_target> held;
    for (const auto& [name, target] : this->registry.all()) {
        if (!target.lease_held(now) || !target.inventory_known)
            continue;
        const auto used = target.reserved_by_team.find(team);
        held.push_back({.name = name,
                        .epoch = target.lease_epoch,
                        .use = used == target.reserved_by_team.end() ? resources{} : used->second,
                        .free = target.free()});
    }
    return held;
}

} // namespace verbenalever
