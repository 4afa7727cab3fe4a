#include "targets/lease_keeper.h"

#include "membership/peer_mesh.h"
#include "membership/rendezvous.h"
#include "targets/target_client.h"
#include "targets/target_registry.h"
#include "timeline/event_log.h"
#include "verbenalever/entry_settings.h"

#include <memory>

namespace verbenalever {

namespace {

/// Taken off the end of each lease, against clocks that run at slightly different speeds.
constexpr milliseconds clock_margin{50};

} // namespace

lease_keeper::lease_keeper(event_loop& loop, const entry_settings& settings, peer_mesh& mesh,
                           target_client& client, target_registry& registry, const event_log& log)
    : settings(settings), mesh(mesh), client(client), registry(registry), log(log),
      renewal_timer(loop, [this] { this->tick(); })
{
}

void lease_keeper::start()
{
    this->renewal_timer.start_repeating(this->settings.target_lease_renewal);
}

void lease_keeper::tick()
{
    const auto entries = this->mesh.live_in_zone();
    for (auto& [name, target] : this->registry.all()) {
        if (rendezvous_owner(name, entries) == this->settings.name)
            this->renew(target);
    }
}

void lease_keeper::renew(target_record& target)
{
    const auto now = monotonic_clock::now();
    const auto held_epoch = target.held(now) ? target.lease_epoch : 0;
    const auto valid_until = now + this->settings.target_lease - clock_margin;
    this->client.acquire_lease(
        target.vm.address, this->settings.name, held_epoch, this->settings.target_lease,
        [this, name = target.vm.name, valid_until](absl::StatusOr<std::int64_t> epoch) {
            if (epoch.ok())
                this->granted(name, *epoch, valid_until);
        });
}

void lease_keeper::granted(const std::string& name, std::int64_t epoch, monotonic_time valid_until)
{
    auto* target = this->registry.find(name);
    if (target == nullptr || epoch < target->lease_epoch)
        return;
    const bool renewed = epoch == target->lease_epoch;
    target->lease_epoch = epoch;
    target->lease_valid_until = std::max(target->lease_valid_until, valid_until);
    if (!renewed) {
        target->inventory_known = false;
        this->log.write("targets", "lease_acquired", {{"target", name}, {"epoch", epoch}});
    }
    if (!target->inventory_known)
        this->read_inventory(name, epoch);
}

void lease_keeper::read_inventory(const std::string& name, std::int64_t epoch)
{
    auto* target = this->registry.find(name);
    this->client.read_inventory(
        target->vm.address, [this, name, epoch](absl::StatusOr<target_inventory> inventory) {
            auto* target = this->registry.find(name);
            if (!inventory.ok() || target == nullptr || target->lease_epoch != epoch)
                return;
            this->registry.take_inventory(*target, *inventory);
        });
}

void lease_keeper::hand_over(std::function<void()> done)
{
    this->renewal_timer.stop();
    auto waiting = std::make_shared<int>(1);
    const auto answered = [waiting, done = std::move(done)](const absl::Status&) {
        if (--*waiting == 0)
            done();
    };
    for (auto& [name, target] : this->registry.all()) {
        if (!target.held(monotonic_clock::now()))
            continue;
        ++*waiting;
        target.lease_valid_until = monotonic_time();
        this->log.write("targets", "lease_released",
                        {{"target", name}, {"epoch", target.lease_epoch}});
        this->client.release_lease(target.vm.address, this->settings.name, target.lease_epoch,
                                   answered);
    }
    answered(absl::OkStatus());
}

} // namespace verbenalever
