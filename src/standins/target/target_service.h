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

/// Stand-in for one target: lease, tasks that run for a set time, and answers to requests.
///
/// It checks its capacity only when told to, so that a test sees what the scheduler does.
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

    /// One task, running or finished and not yet forgotten.
    struct task_state {
        std::string attempt;
        std::string team;
        verbenalever::resources demand;
        std::string state = "running";
        std::string result;
        std::int64_t progress_ms = 0; ///< of the last checkpoint
        std::int64_t resumed_ms = 0;  ///< progress that the start took up from
        std::int64_t exit_code = 0;
        verbenalever::monotonic_time started_at;
        verbenalever::monotonic_time ends_at;
        verbenalever::monotonic_time lease_until;
    };

    void add_routes();
    void acquire_lease(const request_type& request, const responder& respond);
    void release_lease(const request_type& request, const responder& respond);
    void start_task(const request_type& request, const responder& respond);

    /// @return the task, or null after the refusal was sent: the epoch is old or there is no task
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
    std::map<std::string, std::string> requests; ///< in flight, with their teams
    std::multimap<verbenalever::monotonic_time, std::function<void()>> delayed_responses;
    std::vector<responder> unanswered;
    verbenalever::timer tick_timer;
};

} // namespace standins
