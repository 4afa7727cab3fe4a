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

/// Writes one job's record to the store, page by page, with at most one write of each page in
/// flight. Changes made while a page is being written are combined into its next write.
class job_pages {
public:
    /// @param job    outlives this
    /// @param writer_id this process's name in records
    job_pages(job_record& job, record_writer& records, std::string writer_id);

    /// Set the revision at which a page was read or created; the next write replaces it.
    void set_revision(std::size_t page, std::int64_t revision);

    /// Write the pages of changed tasks; the first page when @p tasks is empty.
    /// @param tasks     indices of the changed tasks
    /// @param on_stored called once all these pages are stored; never when ownership was lost
    void save(std::span<const std::size_t> tasks, std::function<void()> on_stored);

    /// Write every page, so that any later write of an earlier driver fails.
    void save_all(std::function<void()> on_stored);

    /// Set the callback that is called when another process has written a page, so that this
    /// process no longer drives the job.
    void on_ownership_lost(std::function<void()> action);

private:
    struct page_state {
        std::int64_t revision = 0;
        std::uint64_t change_count = 0; ///< number of changes so far
        std::uint64_t stored_count = 0; ///< of these, the changes that are stored
        bool writing = false;
    };

    struct pending_save {
        /// Page to the change count that must be stored.
        std::map<std::size_t, std::uint64_t> required_changes;
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
