#pragma once

#include "jobs/job_archive.h"
#include "loop/timer.h"

#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace verbenalever {

class job_drivers;
struct job_record;
struct job_context;
struct kv_entry;
struct kv_listing;

/// Finds jobs that no live entry daemon drives, and adopts those that are assigned to this entry
/// daemon.
///
/// Rendezvous hashing over the live entry daemons selects which entry daemon tries to adopt a job;
/// a compare-and-swap on the job's first page decides which one succeeds. An entry daemon that
/// considers fewer than half of all entry daemons alive adopts no jobs of others: it is more likely
/// that it is partitioned from them than that they have failed.
class job_adoption {
public:
    job_adoption(const job_context& context, job_drivers& drivers);

    /// Start the periodic scans for jobs without a driver.
    void start();

    void stop();

private:
    void tick();
    void scan();
    void adopt_from_listing(const kv_listing& listing);
    /// @return whether this entry daemon is to adopt a job that it does not drive
    [[nodiscard]] bool should_adopt(const job_record& job) const;
    [[nodiscard]] bool is_rendezvous_owner(std::string_view job) const;
    [[nodiscard]] bool sees_half_of_entries() const;
    /// @return the entry daemons that can drive jobs, this one included
    [[nodiscard]] std::set<std::string> live_entries() const;

    const job_context& context;
    job_drivers& drivers;
    job_archive archive;
    std::set<std::string> last_live_entries;
    bool scanning = false;
    monotonic_time next_scan;
    std::shared_ptr<int> alive = std::make_shared<int>(0);
    timer tick_timer;
};

} // namespace verbenalever
