#pragma once

#include "store/kv_entry.h"

#include <absl/status/statusor.h>

#include <functional>
#include <string>

namespace verbenalever {

class kv_client;

/// Read a job's first page, from the active jobs or else from the archive.
/// @param done called with the page; NOT_FOUND when there is no such job; UNAVAILABLE when the
///             store gave no answer
void read_job_record(kv_client& store, const std::string& job,
                     std::function<void(absl::StatusOr<kv_entry>)> done);

} // namespace verbenalever
