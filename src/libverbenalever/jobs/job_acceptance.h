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

/// Accepts submitted jobs. A job is accepted once the store contains the first page of its record
/// (see job_record).
///
/// The answer "not run" is given only when the page can no longer be created: either no write was
/// sent, or a marker was written to the page's key, so that a delayed create fails.
class job_acceptance {
public:
    job_acceptance(const job_context& context, configuration_store& configuration,
                   access_control& access, job_drivers& drivers);

    /// Handle POST /v1/jobs.
    void submit(const http_request& request, http_responder respond);

    /// Refuse all further submissions.
    void stop();

private:
    /// One submission that has not been answered.
    struct submission_state {
        job_record record;
        std::string serialized_page;
        std::int64_t expected_revision = 0; ///< of the page's key; zero: it must be absent
        monotonic_time read_at;             ///< when the last lookup of the job was sent
        bool is_probe = false;              ///< it tests whether the store answers again
        http_responder respond;
    };
    using submission_ptr = std::shared_ptr<submission_state>;

    /// Read the page's key, then create the page if the job does not exist.
    void check_existing(const submission_ptr& current);
    void create_record(const submission_ptr& current);
    /// Read the key after a create without a known result.
    void read_back(const submission_ptr& current);
    /// Write the marker that makes a delayed create fail.
    void write_blocked_marker(const submission_ptr& current);
    void read_back_after_marker(const submission_ptr& current);
    void finish_accepted(const submission_ptr& current, std::int64_t revision);
    /// Answer with the existing job if it is the same work, otherwise with a conflict.
    void respond_to_existing(const submission_ptr& current, const kv_entry& entry);
    void mark_store_suspect();
    void respond_unknown(const submission_ptr& current);

    const job_context& context;
    configuration_store& configuration;
    access_control& access;
    job_drivers& drivers;
    bool stopped = false;
    bool store_suspect = false;    ///< the last call to the store failed
    bool probe_in_flight = false;  ///< a probe has not been answered
    monotonic_time store_retry_at; ///< submissions are refused until then if the store is suspect
    std::shared_ptr<int> alive = std::make_shared<int>(0);
};

} // namespace verbenalever
