#include "verbenalever/entry_daemon.h"

#include "access/access_control.h"
#include "administration/admin_api.h"
#include "configuration/configuration_store.h"
#include "http/http_client.h"
#include "http/http_load_log.h"
#include "http/http_server.h"
#include "http/router.h"
#include "jobs/job_service.h"
#include "limits/team_limit_enforcer.h"
#include "loop/event_loop.h"
#include "loop/signal_watcher.h"
#include "loop/timer.h"
#include "membership/peer_mesh.h"
#include "membership/vm_list_relay.h"
#include "requests/request_service.h"
#include "scheduling/policy_factory.h"
#include "scheduling/share_ledger.h"
#include "scheduling/usage_exchange.h"
#include "store/kv_client.h"
#include "store/vm_list_client.h"
#include "targets/inventory_poller.h"
#include "targets/lease_manager.h"
#include "targets/target_client.h"
#include "targets/target_lease_arbiter.h"
#include "targets/target_registry.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"

#include <csignal>

namespace verbenalever {

namespace {

constexpr milliseconds drain_check_interval{20};
/// Least time from the start of draining to the exit: the last responses are sent and the load
/// balancer sees the health check fail.
constexpr milliseconds min_drain_time{500};
constexpr int status_unavailable = 503;
/// Buffer of one connection, which bounds the headers of a request: that of 4,096 connections takes
/// a quarter of the memory of a VM of the default size.
constexpr std::size_t connection_buffer_bytes = 16U << 10U;

/// @return limits that bound the memory of all callers together. A body that arrives slowly is not
/// ended unless others need its memory, nor an idle connection before the idle timeout unless
/// others need it. A body without progress is: the library does not always notice that its client
/// has left.
http_server_limits limits_of_callers(const entry_settings& settings)
{
    http_server_limits limits{.body_bytes = settings.body_limit_bytes,
                              .connection_buffer_bytes = connection_buffer_bytes};
    limits.connections = connection_limit(settings.max_descriptors, limits.connections);
    limits.bodies = body_budget_limits::of_vm(settings.memory_mb, limits.connections,
                                              settings.body_limit_bytes);
    limits.bodies.whole_body = milliseconds::max();
    limits.bodies.no_request = milliseconds::max();
    return limits;
}

} // namespace

class entry_daemon::implementation {
public:
    explicit implementation(entry_settings settings)
        : settings(std::move(settings)), log(this->settings.name),
          http(this->loop, this->settings.peer.address),
          store(this->http, this->metrics, this->settings.platform),
          configuration(this->loop, this->store, this->log),
          access(this->configuration, this->settings.operator_keys),
          mesh(this->loop, this->settings, this->metrics, this->log),
          vm_list(this->mesh, this->metrics, this->log, 2 * this->settings.vm_list_interval,
                  [this](std::string_view text) { this->apply_vm_list(text); }),
          registry(this->configuration, this->settings.availability_zone),
          limits(this->loop, this->settings.name, this->configuration, this->store, this->mesh,
                 this->registry, this->metrics, this->log),
          targets(this->http, this->metrics), arbiter(this->targets, this->settings.name),
          inventories(this->targets, this->registry),
          leases(this->loop, this->settings, this->mesh, this->arbiter, this->inventories,
                 this->registry, this->metrics, this->log),
          usage(this->loop, this->mesh, this->shares, this->settings.heartbeat_interval),
          requests(this->loop, this->settings, this->configuration, this->access, this->registry,
                   this->targets, this->mesh, this->store, this->shares, this->metrics, this->log),
          jobs(this->loop, this->settings, this->configuration, this->access, this->mesh,
               this->store, this->registry, this->targets, this->metrics, this->log),
          administration(this->loop, this->settings, this->configuration, this->access, this->store,
                         this->mesh, this->registry, this->log, [this] { this->drain(); }),
          vm_list_reader(this->loop, this->http, this->metrics, this->settings.platform,
                         [this](std::string_view text, std::int64_t read_at_us) {
                             if (text.empty())
                                 this->vm_list.confirm_unchanged(read_at_us);
                             else
                                 this->vm_list.apply_platform_list(text, read_at_us);
                         }),
          drain_timer(this->loop, [this] { this->check_drained(); }),
          terminate_signal(this->loop, SIGTERM, [this] { this->drain(); }),
          interrupt_signal(this->loop, SIGINT, [this] { this->drain(); })
    {
        this->registry.set_usage_listener([this](std::string_view team, const resources& change) {
            this->shares.add_local_usage(team, change, monotonic_clock::now());
        });
        this->configuration.on_change(
            [this](const operator_configuration& changed) { apply_shares(changed, this->shares); });
    }

    absl::Status run()
    {
        this->add_routes();
        auto listening = http_server::listen(
            this->loop, this->settings.http, limits_of_callers(this->settings),
            [this](const http_request& request, http_responder respond) {
                this->routes.dispatch(request, std::move(respond));
            },
            [this](const http_load_event& load) {
                record_http_load(load, this->metrics, this->log);
            });
        if (!listening.ok())
            return listening.status();
        this->server = *std::move(listening);
        if (auto status =
                this->mesh.start([this](heartbeat& message) { this->fill_heartbeat(message); });
            !status.ok())
            return status;
        this->limits.start();
        this->mesh.on_superseded([this] { this->drain(); });
        this->configuration.start();
        this->administration.start();
        this->vm_list_reader.start(this->settings.vm_list_interval);
        this->leases.start();
        this->usage.start();
        this->jobs.start();
        this->log.write("daemon", "started",
                        {{"availability_zone", this->settings.availability_zone},
                         {"http", this->settings.http.text()}});
        this->loop.run();
        this->log.write("daemon", "stopped");
        return absl::OkStatus();
    }

private:
    void add_routes()
    {
        this->routes.add("GET", "/healthz",
                         [this](const http_request&, const path_parameters&,
                                const http_responder& respond) { respond(this->health()); });
        this->routes.add(
            "GET", "/metrics",
            [this](const http_request&, const path_parameters&, const http_responder& respond) {
                respond(
                    {.headers = {{"Content-Type", "text/plain"}}, .body = this->metrics.text()});
            });
        this->requests.add_routes(this->routes);
        this->jobs.add_routes(this->routes);
        this->administration.add_routes(this->routes);
    }

    [[nodiscard]] http_response health() const
    {
        if (this->draining)
            return http_response::json(status_unavailable, R"({"status":"draining"})");
        return http_response::json(200, R"({"status":"serving"})");
    }

    void fill_heartbeat(heartbeat& message) const
    {
        message.configuration_revision = this->configuration.stored().revision;
        message.free_slots = this->registry.free_slots();
        message.draining = this->draining;
        this->vm_list.fill_heartbeat(message);
    }

    void apply_vm_list(std::string_view text)
    {
        const auto list = vm_list_client::parse(text);
        if (!list.ok())
            return;
        this->mesh.set_members(*list);
        this->registry.update(*list);
        this->limits.apply_vm_list(*list);
        this->jobs.apply_vm_list(*list);
        resources fleet;
        for (const auto& vm : *list) {
            if (vm.role == vm_role::target && !vm.leaving)
                fleet += vm.capacity;
            if (vm.name == this->settings.name && vm.leaving)
                this->drain();
        }
        this->shares.set_capacity(fleet);
    }

    void drain()
    {
        if (this->draining)
            return;
        this->draining = true;
        this->drain_started = monotonic_clock::now();
        this->log.write("daemon", "drain_started");
        this->requests.drain();
        this->mesh.send_heartbeats();
        this->jobs.drain();
        this->drain_timer.start_repeating(drain_check_interval);
    }

    /// Hand the target leases over as soon as no request is queued, since requests in flight need
    /// none, and end the loop when all work has ended or the drain timeout has passed.
    void check_drained()
    {
        const auto elapsed = monotonic_clock::now() - this->drain_started;
        const bool timed_out = elapsed > this->settings.drain_timeout;
        if (!this->handing_over && (this->requests.queued() == 0 || timed_out)) {
            this->handing_over = true;
            this->leases.hand_over([this] { this->handed_over = true; });
        }
        const bool idle = this->requests.unanswered() == 0 && this->server->pending() == 0 &&
                          this->jobs.drained();
        if (elapsed < min_drain_time || !this->handed_over || (!idle && !timed_out))
            return;
        this->drain_timer.stop();
        this->loop.stop();
    }

    entry_settings settings;
    event_loop loop;
    event_log log;
    counters metrics;
    http_client http;
    kv_client store;
    configuration_store configuration;
    access_control access;
    peer_mesh mesh;
    vm_list_relay vm_list;
    target_registry registry;
    team_limit_enforcer limits;
    target_client targets;
    target_lease_arbiter arbiter;
    inventory_poller inventories;
    lease_manager leases;
    share_ledger shares;
    usage_exchange usage;
    request_service requests;
    job_service jobs;
    admin_api administration;
    vm_list_client vm_list_reader;
    router routes;
    std::unique_ptr<http_server> server;
    bool draining = false;
    bool handing_over = false;
    bool handed_over = false;
    monotonic_time drain_started;
    timer drain_timer;
    signal_watcher terminate_signal;
    signal_watcher interrupt_signal;
};

entry_daemon::entry_daemon(entry_settings settings)
    : impl(std::make_unique<implementation>(std::move(settings)))
{
}

entry_daemon::~entry_daemon() = default;

absl::Status entry_daemon::run()
{
    return this->impl->run();
}

} // namespace verbenalever
