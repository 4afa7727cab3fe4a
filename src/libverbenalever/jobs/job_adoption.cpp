#include "jobs/job_adoption.h"

#include "jobs/job_context.h"
#include "jobs/job_drivers.h"
#include "jobs/job_messenger.h"
#include "jobs/job_notice.h"
#include "membership/rendezvous.h"
#include "store/kv_client.h"
#include "timeline/counters.h"
#include "verbenalever/entry_settings.h"

#include <algorithm>

namespace verbenalever {

namespace {

constexpr milliseconds tick_interval{200};
constexpr milliseconds rescan_interval{300000};
/// Finished jobs per scan for which it is checked whether they are due to be archived.
constexpr int max_archive_checks_per_scan = 50;
constexpr milliseconds retry_interval{1000};
/// Delay of the scan after an entry daemon joined, so that others that join at the same time are
/// counted.
constexpr milliseconds join_settle_interval{3000};
/// Delay of the first scan, in heartbeat intervals, so that the live peers are known by then.
constexpr int heartbeats_before_first_scan = 3;

} // namespace

job_adoption::job_adoption(const job_context& context, job_drivers& drivers)
    : context(context), drivers(drivers), archive(context),
      tick_timer(context.loop, [this] { this->tick(); })
{
    this->context.messenger.on<job_notice>([this](const std::string&, const job_notice& notice) {
        if (notice.what == "released")
            this->next_scan = std::min(this->next_scan, monotonic_clock::now());
        else if (notice.what == "cancelled")
            this->drivers.cancel(notice.job);
    });
}

void job_adoption::start()
{
    this->next_scan = monotonic_clock::now() +
                      heartbeats_before_first_scan * this->context.settings.heartbeat_interval;
    this->tick_timer.start_repeating(tick_interval);
}

void job_adoption::stop()
{
    this->tick_timer.stop();
}

std::set<std::string> job_adoption::live_entries() const
{
    std::set<std::string> names{this->context.settings.name};
    for (const auto& [name, peer] : this->context.mesh.peers()) {
        if (peer.alive && !peer.leaving && !peer.last_heartbeat.draining)
            names.insert(name);
    }
    return names;
}

bool job_adoption::sees_half_of_entries() const
{
    const auto& peers = this->context.mesh.peers();
    const auto alive =
        std::ranges::count_if(peers, [](const auto& one) { return one.second.alive; });
    return (alive + 1) * 2 >= static_cast<std::ptrdiff_t>(peers.size()) + 1;
}

void job_adoption::tick()
{
    const auto now = monotonic_clock::now();
    auto present = this->live_entries();
    const bool entry_left = !std::ranges::includes(present, this->last_live_entries);
    if (present != this->last_live_entries)
        this->next_scan = std::min(this->next_scan, entry_left ? now : now + join_settle_interval);
    this->last_live_entries = std::move(present);
    if (!this->scanning && now >= this->next_scan)
        this->scan();
}

void job_adoption::scan()
{
    this->scanning = true;
    this->next_scan = monotonic_clock::now() + rescan_interval;
    this->context.metrics.add("job_scans");
    this->context.store.list(
        "jobs/", [this, guard = std::weak_ptr(this->alive)](absl::StatusOr<kv_listing> listing) {
            if (guard.expired())
                return;
            this->scanning = false;
            if (listing.ok())
                return this->adopt_from_listing(*listing);
            this->next_scan = monotonic_clock::now() + retry_interval;
        });
}

void job_adoption::adopt_from_listing(const kv_listing& listing)
{
    int archive_checks = 0;
    for (const auto& entry : listing.entries) {
        auto job = job_record::parse(entry.value);
        if (job.ok() && job->finished && archive_checks < max_archive_checks_per_scan &&
            this->is_rendezvous_owner(job->id)) {
            ++archive_checks;
            this->archive.archive_if_due(*job, entry);
        }
        if (!job.ok() || job->finished || this->drivers.contains(job->id) ||
            !this->should_adopt(*job))
            continue;
        this->drivers.adopt(*std::move(job), entry.revision);
        // The write that adopts it may fail: scan again soon.
        this->next_scan = std::min(this->next_scan, monotonic_clock::now() + 2 * retry_interval);
    }
}

bool job_adoption::should_adopt(const job_record& job) const
{
    const auto& self = this->context.settings.name;
    if (job.driver == self)
        return true; // driven by this entry daemon before it was restarted
    const auto present = this->live_entries();
    if (present.contains(job.driver))
        return false;
    if (!job.driver.empty() && !this->sees_half_of_entries())
        return false;
    return this->is_rendezvous_owner(job.id);
}

bool job_adoption::is_rendezvous_owner(std::string_view job) const
{
    const auto present = this->live_entries();
    const std::vector<std::string> candidates(present.begin(), present.end());
    return rendezvous_owner(job, candidates) == this->context.settings.name;
}

} // namespace verbenalever
