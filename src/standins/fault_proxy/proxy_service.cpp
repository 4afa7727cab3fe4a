#include "proxy_service.h"

#include "loop/event_loop.h"
#include "timeline/event_log.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace standins {

using verbenalever::endpoint;
using verbenalever::http_request;
using verbenalever::http_responder;
using verbenalever::milliseconds;
using verbenalever::path_parameters;

namespace {

constexpr milliseconds cleanup_interval{50};
constexpr int listen_backlog = 512;

int listen_on(const endpoint& address)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const auto bound = address.socket_address();
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&bound), sizeof bound) == 0 &&
        ::listen(descriptor, listen_backlog) == 0)
        return descriptor;
    ::close(descriptor);
    return -1;
}

int connect_to(const endpoint& address)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const auto upstream = address.socket_address();
    // A refused connection is reported as an event on the descriptor.
    static_cast<void>(
        ::connect(descriptor, reinterpret_cast<const sockaddr*>(&upstream), sizeof upstream));
    return descriptor;
}

/// Close with a TCP reset, as a broken connection does.
void reset_connection(int descriptor)
{
    const linger abort_on_close{.l_onoff = 1, .l_linger = 0};
    ::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &abort_on_close, sizeof abort_on_close);
    ::close(descriptor);
}

} // namespace

proxy_service::proxy_service(verbenalever::event_loop& loop, const verbenalever::event_log& log)
    : loop(loop), log(log), cleanup_timer(loop, [this] { this->closed_relays.clear(); })
{
    this->routes.add("PUT", "/control/links/{name}",
                     [this](const http_request& request, const path_parameters& parameters,
                            const http_responder& respond) {
                         this->add_link(request, parameters.at("name"), respond);
                     });
    this->routes.add("PUT", "/control/rules",
                     [this](const http_request& request, const path_parameters&,
                            const http_responder& respond) { this->set_rules(request, respond); });
    this->cleanup_timer.start_repeating(cleanup_interval);
}

proxy_service::~proxy_service() = default;

void proxy_service::dispatch(const http_request& request, http_responder respond)
{
    this->routes.dispatch(request, std::move(respond));
}

void proxy_service::add_link(const http_request& request, const std::string& name,
                             const http_responder& respond)
{
    const auto body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return respond({.status = 400, .headers = {}, .body = "a JSON object is needed"});
    const auto listen = endpoint::parse(body.value("listen", ""));
    const auto upstream = endpoint::parse(body.value("upstream", ""));
    if (!listen.ok() || !upstream.ok())
        return respond({.status = 400, .headers = {}, .body = "listen and upstream are needed"});
    const int descriptor = listen_on(*listen);
    if (descriptor < 0)
        return respond({.status = 409, .headers = {}, .body = "the address cannot be bound"});
    auto added = std::make_unique<link>();
    added->name = name;
    added->upstream = *upstream;
    added->descriptor = descriptor;
    auto* added_link = added.get();
    added->watcher = std::make_unique<verbenalever::io_watcher>(
        this->loop, descriptor, [this, added_link](bool, bool) { this->accept(*added_link); });
    added->watcher->watch(true, false);
    this->links[name] = std::move(added);
    respond({});
}

void proxy_service::set_rules(const http_request& request, const http_responder& respond)
{
    try {
        this->rules =
            nlohmann::json::parse(request.body).at("rules").get<std::vector<fault_rule>>();
    }
    catch (const nlohmann::json::exception& error) {
        return respond({.status = 400, .headers = {}, .body = error.what()});
    }
    for (const auto& rule : this->rules)
        this->log.write("proxy", "rule_set",
                        {{"from", rule.from}, {"link", rule.link}, {"mode", rule.mode}});
    if (this->rules.empty())
        this->log.write("proxy", "rules_cleared");
    std::vector<relay*> relays_to_close;
    for (const auto& [connection, owned] : this->relays) {
        if (this->is_cut(connection->client_address(), connection->link()))
            relays_to_close.push_back(connection);
        else
            this->apply_rules(*connection, false);
    }
    for (auto* connection : relays_to_close)
        this->close_relay(connection);
    respond({});
}

bool proxy_service::is_cut(std::string_view client, std::string_view link_name) const
{
    for (const auto& rule : this->rules) {
        if (rule.mode == "cut" && rule.matches(client, link_name))
            return true;
    }
    return false;
}

void proxy_service::apply_rules(relay& connection, bool is_new)
{
    bool blocked = false;
    milliseconds delay{0};
    for (const auto& rule : this->rules) {
        if (!rule.matches(connection.client_address(), connection.link()))
            continue;
        blocked = blocked || rule.mode == "blackhole";
        if (rule.mode == "delay")
            delay += milliseconds(rule.delay_ms);
        if (rule.mode == "freeze" && !is_new)
            connection.freeze();
    }
    connection.set_delay(delay);
    connection.set_blocked(blocked);
}

void proxy_service::accept(link& listener)
{
    while (true) {
        sockaddr_in peer{};
        socklen_t size = sizeof peer;
        const int client = ::accept4(listener.descriptor, reinterpret_cast<sockaddr*>(&peer), &size,
                                     SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (client < 0)
            return;
        std::array<char, INET_ADDRSTRLEN> text{};
        inet_ntop(AF_INET, &peer.sin_addr, text.data(), text.size());
        if (this->is_cut(text.data(), listener.name)) {
            reset_connection(client);
            continue;
        }
        auto connection = std::make_unique<relay>(
            this->loop, client, connect_to(listener.upstream), text.data(), listener.name,
            [this](relay* ended) { this->close_relay(ended); });
        this->apply_rules(*connection, true);
        auto* accepted = connection.get();
        this->relays.emplace(accepted, std::move(connection));
    }
}

void proxy_service::close_relay(relay* connection)
{
    if (auto node = this->relays.extract(connection)) {
        connection->set_blocked(true);
        this->closed_relays.push_back(std::move(node.mapped()));
    }
}

} // namespace standins
