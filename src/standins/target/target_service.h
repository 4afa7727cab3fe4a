#pragma once

#include "http/http_server.h"
#include "http/router.h"
#include "loop/clock.h"
#include "loop/timer.h"
#include "scheduling/resources_json.h"
#include "target_faults.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace verbenalever {
class event_log;
class event_loop;
} // namespace verbenalever

namespace standins {

/// Stand-in for one target: grants its lease, simulates tasks and responds to requests.
///
/// By default it does not enforce its capacity, so that a test can detect when the scheduler
/// exceeds it.
class target_service {
public:
    target_service(verbenalever::event_loop& loop, const verbenalever::event_log& log,
                   std::string name, const verbenalever::resources& capacity,
                   bool enforce_capacity);

    /// Handle one request.
    void dispatch(const verbenalever::http_request& request, verbenalever::http_responder respond);

private:
    using request_type = verbenalever::http_request;
    using responder = verbenalever::http_responder;

    /// One task, running or ended; kept until it is deleted by DELETE /tasks/{id}.
    struct task_state {
        std::string attempt;
        std::string team;
        verbenalever::resources demand;
        std::string state = "running";
        std::string result;
        std::int64_t progress_ms = 0; ///< at the last checkpoint
        std::int64_t resumed_ms = 0;  ///< progress from which the task was resumed
        std::int64_t exit_code = 0;
        verbenalever::monotonic_time started_at;
        verbenalever::monotonic_time ends_at;
        verbenalever::monotonic_time lease_until;
    };

    void add_routes();
    void acquire_lease(const request_type& request, const responder& respond);
    void release_lease(const request_type& request, const responder& respond);
    void start_task(const request_type& request, const responder& respond);

    /// Responds with an error when the epoch is not the current one or the task does not exist.
    /// @return the task, or null after an error response
    [[nodiscard]] task_state* find_fenced_task(const nlohmann::json& body, const std::string& id,
                                               const responder& respond);
    void renew_task(const request_type& request, const std::string& id, const responder& respond);
    void stop_task(const request_type& request, const std::string& id, const responder& respond);
    void checkpoint_task(const std::string& id, const responder& respond);
    void remove_task(const std::string& id, const responder& respond);
    void list_tasks(const responder& respond) const;
    void report_usage(const responder& respond) const;
    void run_request(const request_type& request, responder respond);
    void finish_task(const std::string& id, task_state& task, std::string_view state);
    void tick();
    [[nodiscard]] bool is_wrong_epoch(std::int64_t epoch) const;
    [[nodiscard]] verbenalever::resources used() const;

    const verbenalever::event_log& log;
    std::string name;
    verbenalever::resources capacity;
    bool enforce_capacity;
    target_faults faults;
    verbenalever::router routes;
    std::string holder;
    std::int64_t epoch;
    verbenalever::monotonic_time lease_until;
    std::map<std::string, task_state> tasks;
    std::map<std::string, std::string> requests; ///< team of each request in flight, by request id
    std::multimap<verbenalever::monotonic_time, std::function<void()>> delayed_responses;
    std::vector<responder> unanswered;
    verbenalever::timer tick_timer;
};

} // namespace standins
