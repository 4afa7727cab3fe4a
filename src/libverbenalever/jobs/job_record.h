#pragma once

#include "jobs/job_task.h"
#include "scheduling/resources.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace verbenalever {

/// One job. It is stored as pages in the key-value service: the first page has the job's attributes
/// and the first tasks, the others have the remaining tasks.
///
/// Tasks of a page that does not exist are pending, so that a job of any size is accepted by the
/// create of its first page.
struct job_record {
    /// Number of tasks on one page.
    static constexpr std::size_t tasks_per_page = 100;

    std::string id;
    std::string queue;
    std::string team;
    std::string driver;        ///< the entry daemon that drives it; empty after its release
    std::string writer;        ///< the process that wrote the record last
    std::int64_t epoch = 1;    ///< grows with each change of driver
    std::int64_t sequence = 0; ///< number of the writer's last write to any page
    resources demand;          ///< of each task
    std::string command;
    bool gang = false;
    bool service = false;
    bool repeatable = true;
    bool cancelled = false;
    bool finished = false;             ///< every task has ended and its end is stored
    std::int64_t finished_wall_us = 0; ///< microseconds since the Unix epoch
    std::string reason;                ///< why it failed or was cancelled
    std::vector<job_task> tasks;

    [[nodiscard]] std::size_t pages() const;

    /// @return the store's key of one page
    [[nodiscard]] static std::string page_key(std::string_view id, std::size_t page);

    /// @return one page as JSON
    [[nodiscard]] std::string serialize_page(std::size_t page) const;

    /// Read the first page; tasks of later pages are pending until apply_page().
    /// @return INVALID_ARGUMENT when the text is not a record
    [[nodiscard]] static absl::StatusOr<job_record> parse(std::string_view text);

    /// Read the tasks of a later page.
    [[nodiscard]] absl::Status apply_page(std::size_t page, std::string_view text);

    /// @return whether every task has ended
    [[nodiscard]] bool all_ended() const;

    /// @return waiting, running, done, failed or cancelled, for callers
    [[nodiscard]] std::string_view state() const;
};

} // namespace verbenalever
