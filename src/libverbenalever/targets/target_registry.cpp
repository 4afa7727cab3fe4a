#include "targets/target_registry.h"

#include "configuration/configuration_store.h"
#include "scheduling/placement_policy.h"
#include "targets/target_inventory.h"

#include <set>

namespace verbenalever {

namespace {

/// When no target can be chosen, the index is rebuilt if it is older than this: leases expire and
/// zones change without an event that rebuilds it.
constexpr milliseconds index_lifetime{100};

} // namespace

target_registry::target_registry(const configuration_store& configuration,
                                 std::string availability_zone)
    : configuration(configuration), availability_zone(std::move(availability_zone))
{
}

void target_registry::update(std::span<const vm_record> vms)
{
    std::set<std::string_view> listed;
    for (const auto& vm : vms) {
        if (vm.role != vm_role::target || vm.availability_zone != this->availability_zone)
            continue;
        listed.insert(vm.name);
        this->records[vm.name].vm = vm;
    }
    const auto now = monotonic_clock::now();
    for (auto place = this->records.begin(); place != this->records.end();) {
        auto& [name, target] = *place;
        if (listed.contains(name) || target.lease_held(now)) {
            ++place;
            continue;
        }
        this->remove_all_usage(target);
        place = this->records.erase(place);
    }
    this->rebuild_index();
}

target_record* target_registry::find(std::string_view name)
{
    const auto found = this->records.find(name);
    return found == this->records.end() ? nullptr : &found->second;
}

std::map<std::string, target_record, std::less<>>& target_registry::all()
{
    return this->records;
}

const std::map<std::string, target_record, std::less<>>& target_registry::all() const
{
    return this->records;
}

bool target_registry::may_start(const target_record& target, monotonic_time now) const
{
    const auto& zones_out = this->configuration.current().availability_zones_out;
    return target.lease_held(now) && target.inventory_known && !target.vm.leaving &&
           !zones_out.contains(target.vm.availability_zone);
}

void target_registry::set_start_guard(start_guard guard)
{
    this->guard = std::move(guard);
}

void target_registry::set_health_filter(health_filter filter)
{
    this->is_healthy = std::move(filter);
}

bool target_registry::can_reserve(const target_record& target, std::string_view team,
                                  const resources& demand, monotonic_time now) const
{
    return this->may_start(target, now) && demand.fits_within(target.free()) &&
           (!this->is_healthy || this->is_healthy(target)) &&
           (!this->guard || this->guard(target, team, demand));
}

void target_registry::set_usage_listener(usage_listener listener)
{
    this->on_usage_change = std::move(listener);
}

void target_registry::reserve(target_record& target, std::string_view team, const resources& demand,
                              std::string_view work)
{
    target.reservations.reserve(work, team, demand);
    this->change_usage(target, team, demand);
}

void target_registry::change_usage(target_record& target, std::string_view team,
                                   const resources& change)
{
    target.reserved += change;
    auto place = target.reserved_by_team.find(team);
    if (place == target.reserved_by_team.end())
        place = target.reserved_by_team.emplace(team, resources{}).first;
    place->second += change;
    if (place->second == resources{})
        target.reserved_by_team.erase(place);
    if (target.index_position)
        this->index.set_free(*target.index_position, target.free());
    if (change.fits_within({}))
        this->refusals.remove_team(team);
    if (this->on_usage_change)
        this->on_usage_change(team, change);
}

bool target_registry::has_capacity(const resources& demand) const
{
    return this->index.has_capacity(demand);
}

std::optional<std::string> target_registry::place(placement_policy& policy, std::string_view team,
                                                  const resources& demand, std::string_view work)
{
    if (this->refusals.contains(team, demand, monotonic_clock::now()))
        return std::nullopt;
    auto chosen = this->choose_position(policy, team, demand);
    if (!chosen && monotonic_clock::now() - this->index_built_at >= index_lifetime) {
        this->rebuild_index();
        chosen = this->choose_position(policy, team, demand);
    }
    if (!chosen) {
        if (this->index.has_capacity(demand) && !this->skipped_unhealthy)
            this->refusals.add(team, demand, monotonic_clock::now());
        return std::nullopt;
    }
    auto& target = *this->indexed[*chosen];
    this->reserve(target, team, demand, work);
    return target.vm.name;
}

std::optional<std::size_t> target_registry::choose_position(placement_policy& policy,
                                                            std::string_view team,
                                                            const resources& demand)
{
    const auto now = monotonic_clock::now();
    this->skipped_unhealthy = false;
    return policy.choose(this->index, demand, [this, team, &demand, now](std::size_t position) {
        const auto& target = *this->indexed[position];
        if (this->is_healthy && !this->is_healthy(target)) {
            this->skipped_unhealthy = true;
            return false;
        }
        return this->can_reserve(target, team, demand, now);
    });
}

void target_registry::rebuild_index()
{
    const auto now = monotonic_clock::now();
    this->index_built_at = now;
    this->indexed.clear();
    std::vector<placement_candidate> candidates;
    for (auto& [name, target] : this->records) {
        target.index_position.reset();
        if (!this->may_start(target, now))
            continue;
        target.index_position = this->indexed.size();
        candidates.push_back({.index = this->indexed.size(),
                              .capacity = target.vm.capacity,
                              .free = target.free(),
                              .rack = target.vm.rack,
                              .target = target.vm.name});
        this->indexed.push_back(&target);
    }
    this->index.assign(std::move(candidates));
}

bool target_registry::try_reserve(std::string_view target, std::string_view team,
                                  const resources& demand, std::string_view work)
{
    auto* record = this->find(target);
    if (record == nullptr || !this->can_reserve(*record, team, demand, monotonic_clock::now()))
        return false;
    this->reserve(*record, team, demand, work);
    return true;
}

void target_registry::release(std::string_view target, std::string_view team,
                              const resources& demand, std::string_view work)
{
    auto* record = this->find(target);
    if (record != nullptr && record->reservations.release(work, team, demand))
        this->change_usage(*record, team, resources{} - demand);
    this->notify_capacity_freed();
}

void target_registry::mark_unconfirmed(std::string_view target, std::string_view work)
{
    if (auto* record = this->find(target))
        record->reservations.mark_unconfirmed(work, record->lease_epoch);
}

bool target_registry::may_still_run(std::string_view target, std::string_view work,
                                    std::int64_t epoch, monotonic_time lapses_at,
                                    monotonic_time now) const
{
    const auto found = this->records.find(target);
    if (found == this->records.end())
        return now < lapses_at;
    const auto& record = found->second;
    if (!record.lease_held(now) || !record.inventory_known)
        return now < lapses_at;
    return epoch == record.lease_epoch || record.reservations.was_running(work);
}

void target_registry::begin_inventory_read(target_record& target)
{
    target.reservations.begin_inventory_read();
}

void target_registry::remove_all_usage(target_record& target)
{
    const auto known = target.reserved_by_team;
    for (const auto& [team, usage] : known)
        this->change_usage(target, team, resources{} - usage);
}

void target_registry::apply_inventory(target_record& target, const target_inventory& inventory)
{
    this->remove_all_usage(target);
    target.reservations.apply_inventory(inventory, target.lease_epoch);
    for (const auto& [team, usage] : target.reservations.by_team())
        this->change_usage(target, team, usage);
    target.inventory_known = true;
    this->rebuild_index();
    if (this->inventory_listener)
        this->inventory_listener(target, inventory);
    this->clear_refusals();
}

void target_registry::clear_refusals()
{
    this->refusals.clear();
    this->notify_capacity_freed();
}

void target_registry::on_inventory(
    std::function<void(const target_record&, const target_inventory&)> action)
{
    this->inventory_listener = std::move(action);
}

void target_registry::on_capacity_freed(std::function<void()> action)
{
    this->capacity_listeners.push_back(std::move(action));
}

void target_registry::notify_capacity_freed() const
{
    for (const auto& listener : this->capacity_listeners)
        listener();
}

std::int64_t target_registry::free_slots() const
{
    const auto now = monotonic_clock::now();
    std::int64_t total = 0;
    for (const auto& [name, target] : this->records) {
        if (this->may_start(target, now) && (!this->is_healthy || this->is_healthy(target)))
            total += target.free().slots;
    }
    return total;
}

} // namespace verbenalever
