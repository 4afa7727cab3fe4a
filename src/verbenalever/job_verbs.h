#pragma once

#include <span>
#include <string>

namespace tool {

class session;

int run_job_submit(session& state, std::span<const std::string> arguments);
int run_job_show(session& state, std::span<const std::string> arguments);
int run_job_wait(session& state, std::span<const std::string> arguments);
int run_job_cancel(session& state, std::span<const std::string> arguments);
int run_job_list(session& state, std::span<const std::string> arguments);

} // namespace tool
