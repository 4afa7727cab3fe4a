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
    job_pages(job_record& job, record_writer& records, std::string writer_id);

    /// Tell the revision at which a page was read or created.
    void set_revision(std::size_t page, std::int64_t revision);

    /// Keep the present state of tasks and of the first page.
    /// @param tasks changed tasks, by index
    /// @param kept  called once the store has all of it; never when ownership was lost
    void save(std::span<const std::size_t> tasks, std::function<void()> on_stored);

    /// Keep every page, so that no earlier driver's write can follow.
    void save_all(std::function<void()> on_stored);

    /// Be told once that another process has written a page: this one no longer drives the job.
    void on_ownership_lost(std::function<void()> action);

private:
    struct page_state {
        std::int64_t revision = 0;
        std::uint64_t change_count = 0; ///< counts changes
        std::uint64_t stored_count = 0; ///< changes that the store has
        bool writing = false;
    };

    struct pending_save {
        std::map<std::size_t, std::uint64_t> required_changes; ///< page to change count
        std::function<void()> on_stored;
    };

    void write_page(std::size_t page);
    void page_written(std::size_t page, std::uint64_t included_changes,
                      const absl::StatusOr<std::int64_t>& revision);
    void notify_pending_saves();

    job_record& job;
    record_writer& records;
    std::string writer_id;
    std::vector<page_state> states;
    std::vector<pending_save> pending_saves;
    std::function<void()> ownership_lost;
    std::shared_ptr<int> alive = std::make_shared<int>(0);
};

} // namespace verbenalever
