#include "jobs/job_adoption.h"

#include "jobs/job_drivers.h"
#include "jobs/job_mailbox.h"
#include "jobs/job_notice.h"
#include "jobs/job_services.h"
#include "membership/rendezvous.h"
#include "store/kv_client.h"
#include "timeline/counters.h"
#include "verbenalever/entry_settings.h"

#include <algorithm>

namespace verbenalever {

namespace {

constexpr milliseconds tick_interval{200};
constexpr milliseconds rescan_interval{300000};
constexpr int most_moves_in_scan = 50;
constexpr milliseconds retry_interval{1000};
/// After entries have come, wait for others that come at the same time.
constexpr milliseconds settle_interval{3000};
/// Heartbeats to wait for after a start, so that live peers are known.
constexpr int heartbeats_before_first_scan = 3;

} // namespace

job_adoption::job_adoption(const job_services& services, job_drivers& drivers)
    : services(services), drivers(drivers), archive(services),
      tick_timer(services.loop, [this] { this->tick(); })
{
    this->services.mailbox.on<job_notice>([this](const std::string&, const job_notice& notice) {
        if (notice.what == "released")
            this->next_scan = std::min(this->next_scan, monotonic_clock::now());
        else if (notice.what == "cancelled")
            this->drivers.cancel(notice.job);
    });
}

void job_adoption::start()
{
    this->next_scan = monotonic_clock::now() +
                      heartbeats_before_first_scan * this->services.settings.heartbeat_interval;
    this->tick_timer.start_repeating(tick_interval);
}

void job_adoption::stop()
{
    this->tick_timer.stop();
}

std::set<std::string> job_adoption::live() const
{
    std::set<std::string> names{this->services.settings.name};
    for (const auto& [name, peer] : this->services.mesh.peers()) {
        if (peer.alive && !peer.leaving && !peer.last_heartbeat.draining)
            names.insert(name);
    }
    return names;
}

bool job_adoption::sees_enough() const
{
    const auto& peers = this->services.mesh.peers();
    const auto alive =
        std::ranges::count_if(peers, [](const auto& one) { return one.second.alive; });
    return (alive + 1) * 2 >= static_cast<std::ptrdiff_t>(peers.size()) + 1;
}

void job_adoption::tick()
{
    const auto now = monotonic_clock::now();
    auto present = this->live();
    const bool one_went = !std::ranges::includes(present, this->last_live);
    if (present != this->last_live)
        this->next_scan = std::min(this->next_scan, one_went ? now : now + settle_interval);
    this->last_live = std::move(present);
    if (!this->scanning && now >= this->next_scan)
        this->scan();
}

void job_adoption::scan()
{
    this->scanning = true;
    this->next_scan = monotonic_clock::now() + rescan_interval;
    this->services.metrics.add("job_scans");
    this->services.store.list(
        "jobs/", [this, guard = std::weak_ptr(this->alive)](absl::StatusOr<kv_listing> listing) {
            if (guard.expired())
                return;
            this->scanning = false;
            if (listing.ok())
                return this->take(*listing);
            this->next_scan = monotonic_clock::now() + retry_interval;
        });
}

void job_adoption::take(const kv_listing& listing)
{
    int moves = 0;
    for (const auto& entry : listing.entries) {
        auto job = job_record::parse(entry.value);
        if (job.ok() && job->finished && moves < most_moves_in_scan && this->owns(job->id)) {
            ++moves;
            this->archive.move_if_due(*job, entry);
        }
        if (!job.ok() || job->finished || this->drivers.contains(job->id) ||
            !this->falls_here(*job))
            continue;
        this->drivers.adopt(*std::move(job), entry.revision);
        // A claim may be lost, or the store may fail in between: look again soon.
        this->next_scan = std::min(this->next_scan, monotonic_clock::now() + 2 * retry_interval);
    }
}

bool job_adoption::falls_here(const job_record& job) const
{
    const auto& self = this->services.settings.name;
    if (job.driver == self)
        return true; // driven by this entry before it was restarted
    const auto present = this->live();
    if (present.contains(job.driver))
        return false;
    if (!job.driver.empty() && !this->sees_enough())
        return false;
    return this->owns(job.id);
}

bool job_adoption::owns(std::string_view job) const
{
    const auto present = this->live();
    const std::vector<std::string> candidates(present.begin(), present.end());
    return rendezvous_owner(job, candidates) == this->services.settings.name;
}

} // namespace verbenalever
