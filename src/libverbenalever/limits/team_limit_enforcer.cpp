#include "limits/team_limit_enforcer.h"

#include "configuration/configuration_store.h"
#include "limits/allotment_planner.h"
#include "limits/limited_amounts.h"
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

/// A refused start that does not ask again within this time is no longer waited for.
constexpr milliseconds demand_lifetime{1000};

/// A peer that asked counts as one to share the limit with for this long.
constexpr milliseconds asking_lifetime{5000};

/// Targets that the platform has not listed for this long are gone, and so is what they ran.
constexpr milliseconds gone_after{60000};
constexpr milliseconds list_is_recent{5000};

/// After a limit is new or changed, each entry first accounts for what runs already; only then is
/// the rest given out.
constexpr milliseconds settling_time{2500};

/// Writes that one entry has in flight at most, so that a change of many limits is no burst.
constexpr std::size_t writes_in_flight = 8;

std::string key_of(std::string_view team)
{
    return fmt::format("{}{}", key_prefix, team_to_key(team));
}

} // namespace

team_limit_enforcer::team_limit_enforcer(event_loop& loop, std::string name,
                                         configuration_store& configuration, kv_client& store,
                                         peer_mesh& mesh, target_registry& registry,
                                         counters& metrics, const event_log& log)
    : name(std::move(name)), configuration(configuration), store(store), mesh(mesh),
      registry(registry), metrics(metrics), log(log), tick_timer(loop, [this] { this->tick(); }),
      retry_timer(loop, [this] { this->list(); })
{
}

void team_limit_enforcer::start()
{
    this->configuration.on_change([this](const operator_configuration& configuration) {
        this->take_configuration(configuration);
    });
    this->registry.set_start_guard(
        [this](const target_record& target, std::string_view team, const resources& demand) {
            return this->may_start(target, team, demand);
        });
    this->mesh.on<allotment_wanted>(
        [this](const std::string& from, const allotment_wanted& wanted) {
            this->take_peer_demand(from, wanted);
        });
    this->tick_timer.start_repeating(tick_interval);
    this->list();
}

void team_limit_enforcer::take_configuration(const operator_configuration& configuration)
{
    std::erase_if(this->teams, [&configuration](const auto& entry) {
        const auto found = configuration.teams.find(entry.first);
        return found == configuration.teams.end() || !found->second.limit;
    });
    bool is_new = false;
    for (const auto& [team, settings] : configuration.teams) {
        if (!settings.limit)
            continue;
        const auto [entry, added] = this->teams.try_emplace(team);
        auto& state = entry->second;
        is_new = is_new || added;
        if (!added && state.limit == *settings.limit)
            continue;
        state.limit = *settings.limit;
        state.raises_from = monotonic_clock::now() + settling_time;
        this->pending.insert(team);
    }
    if (is_new)
        this->list();
}

bool team_limit_enforcer::may_start(const target_record& target, std::string_view team,
                                    const resources& demand)
{
    const auto found = this->teams.find(team);
    if (found == this->teams.end())
        return true;
    auto& state = found->second;
    const auto used = target.reserved_by_team.find(team);
    const allotted_target here{.name = target.vm.name,
                               .epoch = target.lease_epoch,
                               .use = used == target.reserved_by_team.end() ? resources{}
                                                                            : used->second,
                               .free = target.free()};
    if ((here.use + demand).fits_within(state.book.usable(here, state.limit)))
        return true;
    if (state.demand == resources{})
        this->pending.insert(found->first);
    state.demand = greatest_of(state.demand, demand);
    state.refused_at = monotonic_clock::now();
    this->metrics.add("starts_held_by_limit");
    return false;
}

void team_limit_enforcer::take_peer_demand(const std::string& from, const allotment_wanted& wanted)
{
    const auto found = this->teams.find(wanted.team);
    if (found == this->teams.end())
        return;
    found->second.peer_demand = wanted.demand;
    found->second.peer_demand_at = monotonic_clock::now();
    found->second.asking[from] = found->second.peer_demand_at;
    this->pending.insert(wanted.team);
}

void team_limit_enforcer::list()
{
    this->store.list(key_prefix, [this](absl::StatusOr<kv_listing> listing) {
        if (!listing.ok())
            return this->retry_timer.start_once(retry_delay);
        this->observe(*listing);
        if (!this->listed) {
            this->listed = true;
            this->follow(listing->revision);
        }
    });
}

void team_limit_enforcer::follow(std::int64_t since)
{
    this->store.watch(key_prefix, since, watch_wait, [this](absl::StatusOr<kv_listing> changes) {
        if (!changes.ok()) {
            this->listed = false;
            return this->retry_timer.start_once(retry_delay);
        }
        this->observe(*changes);
        this->follow(changes->revision);
    });
}

void team_limit_enforcer::observe(const kv_listing& listing)
{
    for (const auto& entry : listing.entries) {
        const auto team = team_from_key(std::string_view(entry.key).substr(key_prefix.size()));
        const auto found = this->teams.find(team);
        if (found == this->teams.end() || entry.deleted)
            continue;
        if (auto record = allotment_record::parse(entry.value); record.ok())
            found->second.book.observe(*std::move(record), entry.revision);
        else
            this->log.write("limits", "allotment_unreadable", {{"team", team}});
    }
}

void team_limit_enforcer::tick()
{
    std::size_t writing = 0;
    for (const auto& [team, state] : this->teams)
        writing += state.book.writing() ? 1 : 0;
    auto teams_due = std::move(this->pending);
    this->pending.clear();
    for (const auto& team : teams_due) {
        const auto found = this->teams.find(team);
        if (found == this->teams.end())
            continue;
        if (found->second.book.writing() || writing >= writes_in_flight) {
            this->pending.insert(team);
            continue;
        }
        this->serve(team, found->second);
        writing += found->second.book.writing() ? 1 : 0;
    }
}

void team_limit_enforcer::serve(const std::string& team, team_state& state)
{
    const auto now = monotonic_clock::now();
    const bool settling = now < state.raises_from;
    const bool above_limit =
        !only_limited(state.book.total(), state.limit).fits_within(state.limit);
    if (state.demand != resources{} && now - state.refused_at > demand_lifetime) {
        state.demand = {};
        this->registry.reconsider(); // whoever still waits asks again
    }
    if (now - state.peer_demand_at > demand_lifetime)
        state.peer_demand = {};
    std::erase_if(state.asking,
                  [now](const auto& peer) { return now - peer.second > asking_lifetime; });
    this->plan_and_write(team, state, settling);
    const bool peers_wait = state.peer_demand != resources{};
    if (settling || above_limit || peers_wait || state.demand != resources{})
        this->pending.insert(team);
}

void team_limit_enforcer::plan_and_write(const std::string& team, team_state& state, bool settling)
{
    const auto held = this->held_targets(team);
    const auto base = this->without_gone_targets(state.book.record());
    const bool lacked = state.demand != resources{};
    const allotment_request request{.limit = state.limit,
                                    .demand = state.demand,
                                    .give_up = state.peer_demand,
                                    .entries = 1 + std::ssize(state.asking),
                                    .cover_only = settling};
    state.book.set_ceilings(plan_ceilings(base, held, request));
    auto next = plan_allotments(base, held, request);
    const bool gone = base.amounts != state.book.record().amounts;
    if (!next && (gone || (lacked && this->needs_fence(state, held))))
        next = base;
    if (next && !base.total().fits_within(next->total()))
        state.peer_demand = {}; // some is given up; whoever lacks more asks again
    if (next)
        this->write(team, state, *std::move(next), held);
    else if (lacked && !settling)
        this->ask_peers(team, state);
}

void team_limit_enforcer::apply_vm_list(std::span<const vm_record> vms)
{
    this->newest_list = monotonic_clock::now();
    if (this->first_list == monotonic_time())
        this->first_list = this->newest_list;
    for (const auto& vm : vms) {
        if (vm.role == vm_role::target)
            this->last_listed[vm.name] = this->newest_list;
    }
}

allotment_record team_limit_enforcer::without_gone_targets(const allotment_record& record) const
{
    const auto now = monotonic_clock::now();
    if (now - this->newest_list > list_is_recent)
        return record;
    auto result = record;
    std::erase_if(result.amounts, [this, now](const auto& entry) {
        const auto listed = this->last_listed.find(entry.first);
        const auto seen = listed == this->last_listed.end() ? this->first_list : listed->second;
        return now - seen > gone_after;
    });
    return result;
}

bool team_limit_enforcer::needs_fence(const team_state& state,
                                      std::span<const allotted_target> held) const
{
    return std::ranges::any_of(held, [&state](const allotted_target& target) {
        const auto& book = state.book;
        return !book.fenced(target.name, target.epoch) &&
               !book.record().amount_of(target.name).fits_within(target.use);
    });
}

void team_limit_enforcer::write(const std::string& team, team_state& state, allotment_record next,
                                std::span<const allotted_target> held)
{
    next.writer = this->name;
    next.sequence = ++this->sequence;
    this->metrics.add("allotment_writes");
    state.book.write_started(next, held);
    this->store.put(key_of(team), next.text(), state.book.revision(),
                    [this, team](const absl::StatusOr<std::int64_t>& revision) {
                        this->written(team, revision);
                    });
}

void team_limit_enforcer::written(const std::string& team,
                                  const absl::StatusOr<std::int64_t>& revision)
{
    const auto found = this->teams.find(team);
    if (found == this->teams.end() || !found->second.book.writing())
        return;
    if (revision.ok()) {
        found->second.book.write_kept(*revision);
        found->second.demand = {}; // whoever still waits asks again
        this->log.write("limits", "allotments_kept", {{"team", team}, {"revision", *revision}});
        this->registry.reconsider();
        return;
    }
    this->read_back(team);
}

void team_limit_enforcer::read_back(const std::string& team)
{
    this->store.get(key_of(team), [this, team](const absl::StatusOr<kv_entry>& entry) {
        const auto found = this->teams.find(team);
        if (found == this->teams.end())
            return;
        auto& book = found->second.book;
        const auto record = entry.ok() ? allotment_record::parse(entry->value) : entry.status();
        if (record.ok() && book.writing() && book.is_sent(*record))
            book.write_kept(entry->revision);
        else if (record.ok())
            book.observe(*record, entry->revision);
        if (book.writing())
            book.write_failed();
        this->registry.reconsider();
    });
}

void team_limit_enforcer::ask_peers(const std::string& team, team_state& state)
{
    const auto now = monotonic_clock::now();
    if (now - state.asked_peers < peer_request_interval)
        return;
    state.asked_peers = now;
    this->mesh.broadcast(allotment_wanted{.team = team, .demand = state.demand});
}

std::vector<allotted_target> team_limit_enforcer::held_targets(std::string_view team) const
{
    const auto now = monotonic_clock::now();
    std::vector<allotted_target> held;
    for (const auto& [name, target] : this->registry.all()) {
        if (!target.held(now) || !target.inventory_known)
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
