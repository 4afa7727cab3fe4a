#pragma once

#include "http/http_server.h"
#include "jobs/job_record.h"
#include "loop/clock.h"

#include <absl/status/status.h>

#include <memory>
#include <string>

namespace verbenalever {

class access_control;
class configuration_store;
class job_drivers;
struct job_context;
struct kv_entry;

/// Accepts jobs: a job is accepted when the store has its first page, and not before.
///
/// The answer "not run" is given only when the page can never come to be: nothing was sent, or the
/// key was taken by a marker that makes a late create fail.
class job_acceptance {
public:
    job_acceptance(const job_context& context, configuration_store& configuration,
                   access_control& access, job_drivers& drivers);

    /// Handle POST /v1/jobs.
    void submit(const http_request& request, http_responder respond);

    /// Accept nothing more.
    void stop();

private:
    /// One submission under way.
    struct submission_state {
        job_record record;
        std::string serialized_page;
        std::int64_t expected_revision = 0; ///< revision of the key, zero while it is absent
        monotonic_time read_at;
        bool is_probe = false; ///< it is the one submission that tries while the store is suspect
        http_responder respond;
    };
    using submission_ptr = std::shared_ptr<submission_state>;

    void check_existing(const submission_ptr& current);
    void create_record(const submission_ptr& current);
    void read_back(const submission_ptr& current);
    void write_blocked_marker(const submission_ptr& current);
    void read_back_after_marker(const submission_ptr& current);
    void finish_accepted(const submission_ptr& current, std::int64_t revision);
    void respond_to_existing(const submission_ptr& current, const kv_entry& entry);
    void mark_store_suspect();
    void respond_unknown(const submission_ptr& current);

    const job_context& context;
    configuration_store& configuration;
    access_control& access;
    job_drivers& drivers;
    bool stopped = false;
    bool store_suspect = false;   ///< the last call that tells of it failed
    bool probe_in_flight = false; ///< a submission is finding out whether the store is back
    monotonic_time store_retry_at;
    std::shared_ptr<int> alive = std::make_shared<int>(0);
};

} // namespace verbenalever
