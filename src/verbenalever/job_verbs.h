#pragma once

#include <span>
#include <string>

namespace tool {

class session;

int run_job_submit(session& current_session, std::span<const std::string> arguments);
int run_job_show(session& current_session, std::span<const std::string> arguments);
int run_job_wait(session& current_session, std::span<const std::string> arguments);
int run_job_cancel(session& current_session, std::span<const std::string> arguments);
int run_job_list(session& current_session, std::span<const std::string> arguments);

} // namespace tool
