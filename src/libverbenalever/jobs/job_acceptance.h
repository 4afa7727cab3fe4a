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
struct job_services;
struct kv_entry;

/// Accepts jobs: a job is accepted when the store has its first page, and not before.
///
/// The answer "not run" is given only when the page can never come to be: nothing was sent, or the
/// key was taken by a marker that makes a late create fail.
class job_acceptance {
public:
    job_acceptance(const job_services& services, configuration_store& configuration,
                   access_control& access, job_drivers& drivers);

    /// Handle POST /v1/jobs.
    void submit(const http_request& request, http_responder respond);

    /// Accept nothing more.
    void stop();

private:
    /// One submission under way.
    struct acceptance {
        job_record record;
        std::string text;
        std::int64_t expected = 0; ///< revision of the key, zero while it is absent
        monotonic_time looked_up;
        bool probe = false; ///< it is the one submission that tries while the store is suspect
        http_responder respond;
    };
    using acceptance_ptr = std::shared_ptr<acceptance>;

    void look_up(const acceptance_ptr& current);
    void create(const acceptance_ptr& current);
    void resolve(const acceptance_ptr& current);
    void block(const acceptance_ptr& current);
    void resolve_late(const acceptance_ptr& current);
    void accepted(const acceptance_ptr& current, std::int64_t revision);
    void answer_existing(const acceptance_ptr& current, const kv_entry& entry);
    void store_failed();
    void answer_unknown(const acceptance_ptr& current);

    const job_services& services;
    configuration_store& configuration;
    access_control& access;
    job_drivers& drivers;
    bool stopped = false;
    bool store_suspect = false; ///< the last call that tells of it failed
    bool probing = false;       ///< a submission is finding out whether the store is back
    monotonic_time store_down_until;
    std::shared_ptr<int> alive = std::make_shared<int>(0);
};

} // namespace verbenalever
