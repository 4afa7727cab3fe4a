#include "target_service.h"

#include "loop/event_loop.h"
#include "timeline/event_log.h"

#include <algorithm>
#include <charconv>

namespace standins {

using verbenalever::http_request;
using verbenalever::http_responder;
using verbenalever::http_response;
using verbenalever::milliseconds;
using verbenalever::monotonic_clock;
using verbenalever::path_parameters;
using verbenalever::resources;
using verbenalever::to_milliseconds;

namespace {

constexpr milliseconds tick_interval{1};
constexpr int status_created = 201;
constexpr int status_conflict = 409;

http_response error_response(int status, const char* reason)
{
    return http_response::json(status, nlohmann::json{{"reason", reason}}.dump());
}

nlohmann::json parse_object(const std::string& text)
{
    auto json = nlohmann::json::parse(text, nullptr, false);
    return json.is_object() ? json : nlohmann::json::object();
}

std::int64_t get_integer(const nlohmann::json& object, const char* name, std::int64_t default_value)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_number_integer() ? found->get<std::int64_t>()
                                                               : default_value;
}

std::string get_string(const nlohmann::json& object, const char* name)
{
    const auto found = object.find(name);
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string();
}

} // namespace

target_service::target_service(verbenalever::event_loop& loop, const verbenalever::event_log& log,
                               std::string name, const resources& capacity, bool enforce_capacity)
    : log(log), name(std::move(name)), capacity(capacity), enforce_capacity(enforce_capacity),
      epoch(verbenalever::wall_microseconds()), tick_timer(loop, [this] { this->tick(); })
{
    this->add_routes();
    this->tick_timer.start_repeating(tick_interval);
}

void target_service::dispatch(const http_request& request, http_responder respond)
{
    if (this->faults.hang && !request.path.starts_with("/control/")) {
        this->unanswered.push_back(std::move(respond));
        return;
    }
    this->routes.dispatch(request, std::move(respond));
}

void target_service::add_routes()
{
    const auto add_route =
        [this](std::string_view method, std::string_view path,
               void (target_service::*action)(const request_type&, const responder&)) {
            this->routes.add(method, path,
                             [this, action](const http_request& request, const path_parameters&,
                                            const http_responder& respond) {
                                 (this->*action)(request, respond);
                             });
        };
    add_route("PUT", "/lease", &target_service::acquire_lease);
    add_route("DELETE", "/lease", &target_service::release_lease);
    add_route("POST", "/tasks", &target_service::start_task);
    const auto add_task_route = [this](std::string_view method, std::string_view path,
                                       void (target_service::*action)(const request_type&,
                                                                      const std::string&,
                                                                      const responder&)) {
        this->routes.add(method, path,
                         [this, action](const http_request& request,
                                        const path_parameters& parameters,
                                        const http_responder& respond) {
                             (this->*action)(request, parameters.at("id"), respond);
                         });
    };
    add_task_route("PUT", "/tasks/{id}/lease", &target_service::renew_task);
    add_task_route("POST", "/tasks/{id}/stop", &target_service::stop_task);
    this->routes.add("POST", "/tasks/{id}/checkpoint",
                     [this](const http_request&, const path_parameters& parameters,
                            const http_responder& respond) {
                         this->checkpoint_task(parameters.at("id"), respond);
                     });
    this->routes.add(
        "DELETE", "/tasks/{id}",
        [this](const http_request&, const path_parameters& parameters,
               const http_responder& respond) { this->remove_task(parameters.at("id"), respond); });
    this->routes.add("GET", "/tasks",
                     [this](const http_request&, const path_parameters&,
                            const http_responder& respond) { this->list_tasks(respond); });
    this->routes.add("GET", "/usage",
                     [this](const http_request&, const path_parameters&,
                            const http_responder& respond) { this->report_usage(respond); });
    this->routes.add(
        "POST", "/requests",
        [this](const http_request& request, const path_parameters&, http_responder respond) {
            this->run_request(request, std::move(respond));
        });
    this->routes.add(
        "PUT", "/control/faults",
        [this](const http_request& request, const path_parameters&, const http_responder& respond) {
            this->faults = parse_object(request.body).get<target_faults>();
            this->unanswered.clear();
            respond({});
        });
}

bool target_service::is_wrong_epoch(std::int64_t claimed_epoch) const
{
    return claimed_epoch != this->epoch;
}

resources target_service::used() const
{
    resources total{.slots = static_cast<std::int64_t>(this->requests.size())};
    for (const auto& [id, task] : this->tasks) {
        if (task.state == "running")
            total += task.demand;
    }
    return total;
}

void target_service::acquire_lease(const request_type& request, const responder& respond)
{
    const auto body = parse_object(request.body);
    const auto now = monotonic_clock::now();
    const auto requester = get_string(body, "holder");
    const auto ttl = milliseconds(get_integer(body, "ttl_ms", 0));
    const bool is_leased = !this->holder.empty() && now < this->lease_until;
    if (is_leased && requester != this->holder)
        return respond(http_response::json(
            status_conflict,
            nlohmann::json{{"holder", this->holder},
                           {"epoch", this->epoch},
                           {"remaining_ms", to_milliseconds(this->lease_until - now)}}
                .dump()));
    const bool is_renewal =
        requester == this->holder && get_integer(body, "epoch", 0) == this->epoch;
    if (!is_renewal) {
        ++this->epoch;
        this->log.write("target", "lease_granted", {{"holder", requester}, {"epoch", this->epoch}});
    }
    this->holder = requester;
    this->lease_until = now + ttl;
    respond(http_response::json(200, nlohmann::json{{"epoch", this->epoch}}.dump()));
}

void target_service::release_lease(const request_type& request, const responder& respond)
{
    const auto body = parse_object(request.body);
    if (get_string(body, "holder") == this->holder &&
        get_integer(body, "epoch", 0) == this->epoch) {
        this->holder.clear();
        this->lease_until = {};
    }
    respond({});
}

void target_service::start_task(const request_type& request, const responder& respond)
{
    const auto body = parse_object(request.body);
    if (this->is_wrong_epoch(get_integer(body, "epoch", 0)))
        return respond(error_response(status_conflict, "epoch_too_old"));
    const auto id = get_string(body, "task");
    if (this->tasks.contains(id))
        return respond(error_response(status_conflict, "task_known"));
    task_state task{.attempt = get_string(body, "attempt"), .team = get_string(body, "team")};
    task.demand = body.value("demand", resources{});
    if (this->enforce_capacity && !(this->used() + task.demand).fits_within(this->capacity))
        return respond(error_response(status_conflict, "no_room"));
    const auto command = body.value("command", nlohmann::json::object());
    const auto now = monotonic_clock::now();
    task.started_at = now;
    task.exit_code = this->faults.fail_everything ? 1 : get_integer(command, "exit", 0);
    task.resumed_ms = get_integer(command, "resume_ms", 0);
    const auto total_run_ms = this->faults.fail_everything ? 0 : get_integer(command, "run_ms", 0);
    task.ends_at = now + milliseconds(std::max<std::int64_t>(0, total_run_ms - task.resumed_ms));
    task.lease_until = now + milliseconds(get_integer(body, "lease_ms", 0));
    this->log.write("target", "task_running",
                    {{"task", id},
                     {"attempt", task.attempt},
                     {"team", task.team},
                     {"epoch", this->epoch},
                     {"slots", task.demand.slots},
                     {"processors_milli", task.demand.processors_milli},
                     {"memory_mb", task.demand.memory_mb},
                     {"accelerators", task.demand.accelerators}});
    this->tasks.emplace(id, std::move(task));
    respond({.status = status_created, .headers = {}, .body = "{}"});
}

target_service::task_state* target_service::find_fenced_task(const nlohmann::json& body,
                                                             const std::string& id,
                                                             const responder& respond)
{
    if (this->is_wrong_epoch(get_integer(body, "epoch", 0))) {
        respond(error_response(status_conflict, "epoch_too_old"));
        return nullptr;
    }
    const auto found = this->tasks.find(id);
    if (found == this->tasks.end()) {
        respond(error_response(404, "no_such_task"));
        return nullptr;
    }
    return &found->second;
}

void target_service::renew_task(const request_type& request, const std::string& id,
                                const responder& respond)
{
    const auto body = parse_object(request.body);
    auto* task = this->find_fenced_task(body, id, respond);
    if (task == nullptr)
        return;
    task->lease_until = monotonic_clock::now() + milliseconds(get_integer(body, "lease_ms", 0));
    respond({});
}

void target_service::stop_task(const request_type& request, const std::string& id,
                               const responder& respond)
{
    auto* task = this->find_fenced_task(parse_object(request.body), id, respond);
    if (task == nullptr)
        return;
    if (task->state == "running")
        this->finish_task(id, *task, "stopped");
    respond({});
}

void target_service::checkpoint_task(const std::string& id, const responder& respond)
{
    const auto found = this->tasks.find(id);
    if (found == this->tasks.end())
        return respond(error_response(404, "no_such_task"));
    auto& task = found->second;
    task.progress_ms = task.resumed_ms + to_milliseconds(monotonic_clock::now() - task.started_at);
    respond(http_response::json(200, nlohmann::json{{"progress_ms", task.progress_ms}}.dump()));
}

void target_service::remove_task(const std::string& id, const responder& respond)
{
    const auto found = this->tasks.find(id);
    if (found != this->tasks.end() && found->second.state == "running")
        return respond(error_response(status_conflict, "running"));
    if (found != this->tasks.end())
        this->tasks.erase(found);
    respond({});
}

void target_service::list_tasks(const responder& respond) const
{
    nlohmann::json list = nlohmann::json::array();
    for (const auto& [id, task] : this->tasks)
        list.push_back({{"task", id},
                        {"attempt", task.attempt},
                        {"team", task.team},
                        {"demand", task.demand},
                        {"state", task.state},
                        {"progress_ms", task.progress_ms},
                        {"result", task.result}});
    nlohmann::json in_flight = nlohmann::json::array();
    for (const auto& [request, team] : this->requests)
        in_flight.push_back({{"request", request}, {"team", team}});
    const nlohmann::json listing = {
        {"epoch", this->epoch}, {"requests", in_flight}, {"tasks", list}};
    respond(http_response::json(200, listing.dump()));
}

void target_service::report_usage(const responder& respond) const
{
    respond(http_response::json(200, nlohmann::json{{"used", this->used()}}.dump()));
}

void target_service::run_request(const request_type& request, responder respond)
{
    std::int64_t claimed_epoch = 0;
    const auto header = request.header("Lease-Epoch");
    std::from_chars(header.data(), header.data() + header.size(), claimed_epoch);
    if (!header.empty() && this->is_wrong_epoch(claimed_epoch))
        return respond(error_response(status_conflict, "epoch_too_old"));
    const std::string id(request.header("Request-Id"));
    this->log.write("target", "request_running",
                    {{"request", id}, {"team", request.header("Team")}});
    this->requests[id] = request.header("Team");
    const auto body = parse_object(request.body);
    const auto response_delay_ms = this->faults.delay_ms + get_integer(body, "work_ms", 0);
    auto finish = [this, id, echo = request.body, respond = std::move(respond)] {
        this->requests.erase(id);
        this->log.write("target", "request_ended", {{"request", id}});
        if (this->faults.fail_everything)
            return respond(error_response(500, "failed"));
        respond(http_response::json(
            200, nlohmann::json{{"request", id}, {"target", this->name}, {"echo", echo}}.dump(
                     -1, ' ', false, nlohmann::json::error_handler_t::replace)));
    };
    if (response_delay_ms == 0)
        return finish();
    this->delayed_responses.emplace(monotonic_clock::now() + milliseconds(response_delay_ms),
                                    std::move(finish));
}

void target_service::finish_task(const std::string& id, task_state& task, std::string_view state)
{
    task.state = state;
    task.result = task.state == "succeeded" ? "ok" : task.state;
    this->log.write("target", "task_ended",
                    {{"task", id}, {"attempt", task.attempt}, {"state", state}});
}

void target_service::tick()
{
    const auto now = monotonic_clock::now();
    while (!this->delayed_responses.empty() && this->delayed_responses.begin()->first <= now) {
        const auto action = std::move(this->delayed_responses.begin()->second);
        this->delayed_responses.erase(this->delayed_responses.begin());
        action();
    }
    for (auto& [id, task] : this->tasks) {
        if (task.state != "running")
            continue;
        if (task.ends_at <= now)
            this->finish_task(id, task, task.exit_code == 0 ? "succeeded" : "failed");
        else if (task.lease_until <= now)
            this->finish_task(id, task, "lapsed");
    }
}

} // namespace standins
