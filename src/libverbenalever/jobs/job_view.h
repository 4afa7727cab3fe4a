#pragma once

#include <nlohmann/json_fwd.hpp>

namespace verbenalever {

struct job_record;

/// @return a job without its tasks, as callers see it
[[nodiscard]] nlohmann::json job_summary(const job_record& job);

/// @return a job with its tasks, as callers see it
[[nodiscard]] nlohmann::json job_view(const job_record& job);

} // namespace verbenalever
