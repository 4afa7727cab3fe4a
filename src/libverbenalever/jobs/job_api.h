#pragma once

#include "http/http_server.h"
#include "jobs/job_record.h"
#include "loop/clock.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace verbenalever {

class access_control;
class router;
struct job_context;
struct kv_entry;

/// Shows, lists and cancels jobs over HTTP. Every entry daemon can do this for every job, since
/// records and cancellations are in the store.
class job_api {
public:
    job_api(const job_context& context, access_control& access);

    /// Add the routes under /v1/jobs, except the submission of jobs.
    void add_routes(router& routes);

    /// Answer waiting callers with the present state of their jobs, so that they do not delay a
    /// planned stop.
    void drain();

private:
    /// One request for a job, which may wait for the job's end.
    struct job_query {
        std::string id;
        std::string team;
        monotonic_time deadline; ///< answered then, even if the job has not ended
        http_responder respond;
    };
    using job_query_ptr = std::shared_ptr<job_query>;
    using record_callback = std::function<void(absl::StatusOr<job_record>)>;

    void get_job(const http_request& request, const std::string& id, http_responder respond);
    void read_job(const job_query_ptr& current);
    void wait_for_change(const job_query_ptr& current, std::int64_t known_revision);
    void respond_with_tasks(const job_query_ptr& current, job_record job);
    void list_jobs(const http_request& request, http_responder respond);
    void cancel_job(const http_request& request, const std::string& id, http_responder respond);
    void cancel_queue(const http_request& request, http_responder respond);
    void list_team_jobs(const std::string& team, const std::string& queue,
                        std::function<void(absl::StatusOr<std::vector<job_record>>)> done);
    void read_team_job(const std::string& id, const std::string& team, record_callback done);
    void store_cancellation(const std::string& id, std::function<void(absl::Status)> done);

    const job_context& context;
    access_control& access;
    bool draining = false;
    std::shared_ptr<int> alive = std::make_shared<int>(0);
};

} // namespace verbenalever
