#include "jobs/job_lookup.h"

#include "jobs/job_archive.h"
#include "jobs/job_record.h"
#include "store/kv_client.h"

namespace verbenalever {

void read_job_record(kv_client& store, const std::string& job,
                     std::function<void(absl::StatusOr<kv_entry>)> done)
{
    store.get(job_record::page_key(job, 0),
              [&store, job, done = std::move(done)](absl::StatusOr<kv_entry> entry) {
                  if (!absl::IsNotFound(entry.status()))
                      return done(std::move(entry));
                  store.get(job_archive::key_of(job), done);
              });
}

} // namespace verbenalever
