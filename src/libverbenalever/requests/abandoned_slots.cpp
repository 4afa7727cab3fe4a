#include "requests/abandoned_slots.h"

#include "requests/request_work.h"
#include "targets/target_client.h"
#include "targets/target_registry.h"
#include "timeline/event_log.h"

#include <algorithm>
#include <set>

namespace verbenalever {

namespace {

constexpr milliseconds check_interval{500};
/// The first inventory may be older than bytes that were still on their way.
constexpr int absences_needed = 2;

} // namespace

abandoned_slots::abandoned_slots(event_loop& loop, target_registry& registry, target_client& client,
                                 const event_log& log)
    : registry(registry), client(client), log(log), check_timer(loop, [this] { this->tick(); })
{
    this->check_timer.start_repeating(check_interval);
}

void abandoned_slots::add(const request_work& work, std::string target, std::int64_t epoch)
{
    this->log.write("requests", "slot_abandoned", {{"request", work.id}, {"target", target}});
    this->slots.push_back({.request = work.id,
                           .team = work.team,
                           .demand = work.demand,
                           .target = std::move(target),
                           .epoch = epoch});
}

std::size_t abandoned_slots::size() const
{
    return this->slots.size();
}

void abandoned_slots::tick()
{
    std::erase_if(this->slots, [this](const slot& kept) {
        const auto* target = this->registry.find(kept.target);
        return target == nullptr || target->lease_epoch != kept.epoch;
    });
    std::set<std::string> targets;
    for (const auto& kept : this->slots)
        targets.insert(kept.target);
    for (const auto& target : targets)
        this->client.read_inventory(this->registry.find(target)->vm.address,
                                    [this, target](const auto& inventory) {
                                        if (inventory.ok())
                                            this->read(target, *inventory);
                                    });
}

void abandoned_slots::read(const std::string& target, const target_inventory& inventory)
{
    const auto* record = this->registry.find(target);
    std::vector<slot> ended;
    std::erase_if(this->slots, [&](slot& kept) {
        if (kept.target != target || record == nullptr || kept.epoch != record->lease_epoch)
            return false;
        const bool named = std::any_of(
            inventory.requests.begin(), inventory.requests.end(),
            [&kept](const target_request& request) { return request.request == kept.request; });
        kept.absences = named ? 0 : kept.absences + 1;
        if (kept.absences < absences_needed)
            return false;
        ended.push_back(kept);
        return true;
    });
    for (const auto& kept : ended) {
        this->log.write("requests", "slot_recovered",
                        {{"request", kept.request}, {"target", target}});
        this->registry.release(target, kept.team, kept.demand);
    }
}

} // namespace verbenalever
