#pragma once

#include "jobs/job_record.h"
#include "loop/clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <vector>

namespace verbenalever {

class record_writer;

/// Keeps one job's record in the store, page by page, with one write of a page in flight at a time.
/// Changes made while a page is being written go together into its next write.
class job_pages {
public:
    /// @param job    outlives this
    /// @param writer this process's name in records
    job_pages(job_record& job, record_writer& records, std::string writer);

    /// Tell the revision at which a page was read or created.
    void set_revision(std::size_t page, std::int64_t revision);

    /// Keep the present state of tasks and of the first page.
    /// @param tasks changed tasks, by index
    /// @param kept  called once the store has all of it; never when ownership was lost
    void save(std::span<const std::size_t> tasks, std::function<void()> kept);

    /// Keep every page, so that no earlier driver's write can follow.
    void save_all(std::function<void()> kept);

    /// Be told once that another process has written a page: this one no longer drives the job.
    void on_lost(std::function<void()> action);

private:
    struct page_state {
        std::int64_t revision = 0;
        std::uint64_t changed = 0; ///< counts changes
        std::uint64_t kept = 0;    ///< changes that the store has
        bool writing = false;
    };

    struct waiter {
        std::map<std::size_t, std::uint64_t> needed; ///< page to change count
        std::function<void()> kept;
    };

    void write(std::size_t page);
    void written(std::size_t page, std::uint64_t covered,
                 const absl::StatusOr<std::int64_t>& revision);
    void tell_waiters();

    job_record& job;
    record_writer& records;
    std::string writer;
    std::vector<page_state> states;
    std::vector<waiter> waiters;
    std::function<void()> lost;
    std::shared_ptr<int> alive = std::make_shared<int>(0);
};

} // namespace verbenalever
