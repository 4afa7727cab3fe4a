#include "jobs/job_archive.h"

#include "jobs/job_context.h"
#include "jobs/job_record.h"
#include "store/kv_client.h"
#include "timeline/counters.h"

#include "verbenalever/entry_settings.h"

#include <fmt/format.h>

namespace verbenalever {

job_archive::job_archive(const job_context& context) : context(context) {}

std::string job_archive::key_of(std::string_view job)
{
    return fmt::format("finished_jobs/{}", job);
}

void job_archive::archive_if_due(const job_record& job, const kv_entry& entry)
{
    const auto age = microseconds(wall_microseconds() - job.finished_wall_us);
    if (age < this->context.settings.finished_job_rest)
        return;
    this->context.store.put(
        job_archive::key_of(job.id), entry.value, 0,
        [this, id = job.id, revision = entry.revision,
         guard = std::weak_ptr(this->alive)](const absl::StatusOr<std::int64_t>& copied) {
            if (guard.expired())
                return;
            // ABORTED: the copy exists already. After other errors the next scan tries again.
            if (copied.ok() || absl::IsAborted(copied.status()))
                this->remove_from_active(id, revision);
        });
}

void job_archive::remove_from_active(const std::string& job, std::int64_t revision)
{
    this->context.metrics.add("jobs_archived");
    this->context.store.remove(job_record::page_key(job, 0), revision,
                               [](const absl::StatusOr<std::int64_t>&) {});
}

} // namespace verbenalever
