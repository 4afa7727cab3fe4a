#pragma once

#include "loop/clock.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace verbenalever {

struct job_record;
struct job_context;
struct kv_entry;

/// Moves the records of finished jobs out of the key prefix that job_adoption scans for jobs
/// without a driver.
///
/// A record is moved only some time after the job finished, so that a delayed create of the same
/// job still finds the key and fails.
class job_archive {
public:
    explicit job_archive(const job_context& context);

    /// @return the store's key of an archived job
    [[nodiscard]] static std::string key_of(std::string_view job);

    /// Move a finished job to the archive if it finished long enough ago (finished_job_rest).
    /// @param job   the parsed first page
    /// @param entry the first page as listed by the store
    void archive_if_due(const job_record& job, const kv_entry& entry);

private:
    void remove_from_active(const std::string& job, std::int64_t revision);

    const job_context& context;
    std::shared_ptr<int> alive = std::make_shared<int>(0);
};

} // namespace verbenalever
