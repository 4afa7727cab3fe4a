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
struct job_services;
struct kv_entry;

/// Tells callers about jobs and cancels them. Every entry can: it all goes through the store.
class job_api {
public:
    job_api(const job_services& services, access_control& access);

    /// Add the GET routes under /v1/jobs and those that cancel.
    void add_routes(router& routes);

    /// Answer callers who wait with what is known, so that a planned stop need not wait for them.
    void drain();

private:
    /// One caller waiting for a job.
    struct inquiry {
        std::string id;
        std::string team;
        monotonic_time until; ///< wait for the job's end no longer than this
        http_responder respond;
    };
    using inquiry_ptr = std::shared_ptr<inquiry>;
    using record_callback = std::function<void(absl::StatusOr<job_record>)>;

    void show(const http_request& request, const std::string& id, http_responder respond);
    void look(const inquiry_ptr& current);
    void wait(const inquiry_ptr& current, std::int64_t since);
    void show_tasks(const inquiry_ptr& current, job_record job);
    void list(const http_request& request, http_responder respond);
    void cancel_one(const http_request& request, const std::string& id, http_responder respond);
    void cancel_many(const http_request& request, http_responder respond);
    void list_team(const std::string& team, const std::string& queue,
                   std::function<void(absl::StatusOr<std::vector<job_record>>)> done);
    void read(const std::string& id, const std::string& team, record_callback done);
    void keep_cancel(const std::string& id, std::function<void(absl::Status)> done);

    const job_services& services;
    access_control& access;
    bool draining = false;
    std::shared_ptr<int> alive = std::make_shared<int>(0);
};

} // namespace verbenalever
