#include "http/http_server.h"

#include "http/body_budget.h"
#include "loop/endpoint.h"
#include "loop/event_loop.h"
#include "loop/io_watcher.h"
#include "loop/timer.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <sys/socket.h>

#ifdef __GLIBC__
#include <malloc.h>
#endif

#include <algorithm>
#include <array>
#include <charconv>
#include <optional>
#include <unordered_map>

namespace verbenalever {

namespace {

constexpr int status_payload_too_large = 413;
constexpr int status_unavailable = 503;
constexpr const char* refusal_retry_after_s = "1";
/// Time limits of bodies are checked, and freed memory is given back, at this interval.
constexpr milliseconds check_interval{1000};
/// While there are too many connections, idle ones are ended at this interval.
constexpr milliseconds room_interval{100};
/// First buffer of a body without an announced length; a full buffer grows by growth_factor.
constexpr std::size_t first_buffer_bytes = 1024;
constexpr std::size_t growth_factor = 4;

struct exchange;

/// One connection of a client.
struct client_connection {
    body_budget::connection_id id = 0;
    MHD_Connection* connection = nullptr;
    std::string address;
    exchange* current = nullptr; ///< the request that is received or answered
};

/// State of one request, from its headers to the end of its response.
struct exchange {
    MHD_Connection* connection = nullptr;
    client_connection* client = nullptr; ///< null once the request has ended
    http_request request;
    std::size_t announced_bytes = 0; ///< 0: the length of the body is not announced
    std::size_t granted_bytes = 0;   ///< memory for the body
    std::optional<http_response> response;
    bool too_large = false;
    bool handler_called = false;
    bool suspended = false;
    bool finished = false;
};

MHD_Result collect_header(void* user_data, MHD_ValueKind, const char* name, const char* value)
{
    static_cast<http_request*>(user_data)->headers.push_back({name, value == nullptr ? "" : value});
    return MHD_YES;
}

MHD_Result collect_query(void* user_data, MHD_ValueKind, const char* name, const char* value)
{
    static_cast<http_request*>(user_data)->query[name] = value == nullptr ? "" : value;
    return MHD_YES;
}

/// @return the IPv4 address of the client; empty for another address family
std::string client_address(MHD_Connection* connection)
{
    const auto* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    if (info == nullptr || info->client_addr->sa_family != AF_INET)
        return {};
    std::array<char, INET_ADDRSTRLEN> text{};
    const auto* address = reinterpret_cast<const sockaddr_in*>(info->client_addr);
    inet_ntop(AF_INET, &address->sin_addr, text.data(), text.size());
    return text.data();
}

MHD_Result send_response(MHD_Connection* connection, const http_response& response)
{
    auto* data = const_cast<char*>(response.body.data());
    MHD_Response* out =
        MHD_create_response_from_buffer(response.body.size(), data, MHD_RESPMEM_MUST_COPY);
    for (const auto& header : response.headers)
        MHD_add_response_header(out, header.name.c_str(), header.value.c_str());
    const auto result = MHD_queue_response(connection, static_cast<unsigned>(response.status), out);
    MHD_destroy_response(out);
    return result;
}

/// @return the announced length of the body; 0 when there is none, the largest value when it is
///         out of range
std::size_t announced_length(MHD_Connection* connection)
{
    const char* header =
        MHD_lookup_connection_value(connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
    const std::string_view length = header == nullptr ? "" : header;
    std::size_t value = 0;
    const auto [end, error] = std::from_chars(length.data(), length.data() + length.size(), value);
    return length.empty() || error == std::errc() ? value : body_budget_limits::unlimited;
}

client_connection* client_of(MHD_Connection* connection)
{
    const auto* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return info == nullptr ? nullptr : static_cast<client_connection*>(info->socket_context);
}

http_response refusal_response(const std::string& body)
{
    auto response = http_response::json(status_unavailable, body);
    response.headers.push_back({"Retry-After", refusal_retry_after_s});
    response.headers.push_back({"Connection", "close"});
    return response;
}

/// Free the memory of a body.
void clear_body(exchange& current)
{
    std::string().swap(current.request.body);
    current.granted_bytes = 0;
}

/// Give freed memory back to the system; the allocator would keep it below memory still in use.
void release_free_memory()
{
#ifdef __GLIBC__
    ::malloc_trim(0);
#endif
}

http_response too_large_response(std::size_t limit)
{
    return http_response::json(status_payload_too_large,
                               fmt::format(R"({{"outcome":"not_run","code":"body_too_large",)"
                                           R"("message":"the body is larger than {} bytes"}})",
                                           limit));
}

} // namespace

class http_server::implementation {
public:
    implementation(event_loop& loop, const http_server_limits& limits, http_handler handler,
                   http_load_observer observer)
        : loop(loop), limits(limits), handler(std::move(handler)), observer(std::move(observer)),
          budget(limits.bodies), run_timer(loop, [this] { this->run_daemon(); }),
          check_timer(loop, [this] { this->check_connections(); }),
          room_timer(loop, [this] { this->make_room(); })
    {
    }

    ~implementation()
    {
        *this->alive = false;
        if (this->daemon == nullptr)
            return;
        for (auto* connection : this->suspended_connections)
            MHD_resume_connection(connection);
        this->watcher.reset();
        MHD_stop_daemon(this->daemon);
    }
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;

    absl::Status start(const endpoint& address)
    {
        const sockaddr_in socket_address = address.socket_address();
        this->daemon = MHD_start_daemon(
            MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC, address.port, nullptr, nullptr,
            &implementation::on_access, this, MHD_OPTION_SOCK_ADDR, &socket_address,
            MHD_OPTION_CONNECTION_LIMIT, this->limits.connections, MHD_OPTION_CONNECTION_TIMEOUT,
            static_cast<unsigned>(this->limits.idle_timeout.count()), MHD_OPTION_NOTIFY_COMPLETED,
            &implementation::on_completed, this, MHD_OPTION_NOTIFY_CONNECTION,
            &implementation::on_connection, this, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
            this->limits.connection_buffer_bytes, MHD_OPTION_END);
        if (this->daemon == nullptr)
            return absl::UnavailableError(fmt::format("cannot listen on {}", address.text()));
        const auto* info = MHD_get_daemon_info(this->daemon, MHD_DAEMON_INFO_EPOLL_FD);
        this->watcher = std::make_unique<io_watcher>(this->loop, info->epoll_fd,
                                                     [this](bool, bool) { this->run_daemon(); });
        this->watcher->watch(true, false);
        this->arm_timer();
        this->check_timer.start_repeating(check_interval);
        return absl::OkStatus();
    }

    [[nodiscard]] std::uint16_t port() const
    {
        return MHD_get_daemon_info(this->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
    }

    std::size_t pending = 0;

private:
    static MHD_Result on_access(void* self, MHD_Connection* connection, const char* url,
                                const char* method, const char*, const char* upload,
                                std::size_t* upload_size, void** context)
    {
        auto& server = *static_cast<implementation*>(self);
        auto* stored_exchange = static_cast<std::shared_ptr<exchange>*>(*context);
        auto* client = client_of(connection);
        if (client == nullptr || server.budget.is_ended(client->id))
            return MHD_NO;
        if (stored_exchange == nullptr) {
            stored_exchange = server.begin_exchange(*client, url, method);
            *context = stored_exchange;
            return server.admit_announced_body(**stored_exchange);
        }
        exchange& current = **stored_exchange;
        if (*upload_size > 0) {
            const std::string_view part(upload, *upload_size);
            *upload_size = 0;
            return server.append_body(current, part);
        }
        return server.respond_or_suspend(*stored_exchange);
    }

    static void on_connection(void* self, MHD_Connection* connection, void** context,
                              MHD_ConnectionNotificationCode what)
    {
        auto& server = *static_cast<implementation*>(self);
        if (what == MHD_CONNECTION_NOTIFY_STARTED)
            *context = server.add_client(connection);
        else if (auto* client = static_cast<client_connection*>(*context); client != nullptr)
            server.remove_client(client->id);
    }

    static void on_completed(void* self, MHD_Connection* connection, void** context,
                             MHD_RequestTerminationCode)
    {
        auto& server = *static_cast<implementation*>(self);
        auto* stored_exchange = static_cast<std::shared_ptr<exchange>*>(*context);
        if (stored_exchange == nullptr)
            return;
        server.mark_finished(**stored_exchange);
        server.detach(**stored_exchange);
        std::erase(server.suspended_connections, connection);
        delete stored_exchange;
        *context = nullptr;
    }

    client_connection* add_client(MHD_Connection* connection)
    {
        auto client = std::make_unique<client_connection>();
        client->id = ++this->last_id;
        client->connection = connection;
        client->address = client_address(connection);
        this->budget.open(client->id, client->address, monotonic_clock::now());
        if (this->budget.is_crowded() && !this->room_timer.active())
            this->room_timer.start_once(room_interval);
        return this->clients.emplace(client->id, std::move(client)).first->second.get();
    }

    void remove_client(body_budget::connection_id id)
    {
        this->budget.close(id);
        this->clients.erase(id);
    }

    std::shared_ptr<exchange>* begin_exchange(client_connection& client, const char* url,
                                              const char* method)
    {
        auto current = std::make_shared<exchange>();
        current->connection = client.connection;
        current->client = &client;
        client.current = current.get();
        current->request.method = method;
        current->request.path = url;
        current->request.source = client.address;
        current->announced_bytes = announced_length(client.connection);
        current->too_large = current->announced_bytes > this->limits.body_bytes;
        this->budget.start_body(client.id, monotonic_clock::now());
        return new std::shared_ptr<exchange>(std::move(current));
    }

    /// The request of this exchange has ended, although a handler may still refer to it.
    void detach(exchange& current)
    {
        clear_body(current);
        if (current.client == nullptr)
            return;
        this->budget.finish_request(current.client->id, monotonic_clock::now());
        current.client->current = nullptr;
        current.client = nullptr;
    }

    /// Reserve memory for a body whose length is announced, or send a refusal before it is read.
    MHD_Result admit_announced_body(exchange& current)
    {
        if (current.announced_bytes == 0 || current.too_large ||
            this->reserve(current, current.announced_bytes))
            return MHD_YES;
        this->report(http_load_event::kind::refused, *current.client, 0);
        return send_response(current.connection, refusal_response(this->limits.refusal_body));
    }

    MHD_Result append_body(exchange& current, std::string_view part)
    {
        const auto size = current.request.body.size() + part.size();
        this->budget.receive(current.client->id, part.size(), monotonic_clock::now());
        if (size > this->limits.body_bytes && !current.too_large) {
            current.too_large = true;
            clear_body(current);
            this->budget.release(current.client->id);
        }
        if (current.too_large)
            return MHD_YES;
        if (size > current.granted_bytes) {
            auto wanted = std::max(first_buffer_bytes, current.granted_bytes);
            while (wanted < size)
                wanted *= growth_factor;
            if (!this->reserve(current, std::min(wanted, this->limits.body_bytes))) {
                this->refuse(*current.client, http_load_event::kind::refused);
                return MHD_NO;
            }
        }
        current.request.body.reserve(current.granted_bytes);
        current.request.body += part;
        return MHD_YES;
    }

    bool reserve(exchange& current, std::size_t bytes)
    {
        const auto result = this->budget.reserve(current.client->id, bytes, monotonic_clock::now());
        this->end_connections(result.ended, http_load_event::kind::refused);
        if (result.granted)
            current.granted_bytes = bytes;
        return result.granted;
    }

    void end_connections(const std::vector<body_budget::connection_id>& ended,
                         http_load_event::kind why)
    {
        for (const auto id : ended) {
            auto& client = *this->clients.at(id);
            this->refuse(client, why);
            // The library reads the end of the connection and closes it in its next run.
            ::shutdown(descriptor_of(client), SHUT_RDWR);
        }
        if (!ended.empty())
            this->run_timer.start_once(microseconds(0));
    }

    /// Free the body of a connection that is about to be closed, and send a refusal if a request
    /// was being received: it has not run.
    void refuse(client_connection& client, http_load_event::kind why)
    {
        if (client.current == nullptr) {
            this->report(why == http_load_event::kind::refused ? http_load_event::kind::closed
                                                               : why,
                         client, 0);
            return;
        }
        const auto received = client.current->request.body.size();
        clear_body(*client.current);
        // The library takes no response before the end of the body, so that this one is written to
        // the socket. It is short; what a full socket does not take is lost with the connection.
        const auto text = fmt::format(
            "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\n"
            "Retry-After: {}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{}",
            refusal_retry_after_s, this->limits.refusal_body.size(), this->limits.refusal_body);
        static_cast<void>(
            ::send(descriptor_of(client), text.data(), text.size(), MSG_DONTWAIT | MSG_NOSIGNAL));
        this->report(why, client, received);
    }

    static int descriptor_of(const client_connection& client)
    {
        return MHD_get_connection_info(client.connection, MHD_CONNECTION_INFO_CONNECTION_FD)
            ->connect_fd;
    }

    void report(http_load_event::kind what, const client_connection& client,
                std::size_t received) const
    {
        if (this->observer)
            this->observer({.what = what,
                            .source = client.address,
                            .body_bytes = received,
                            .bodies_bytes = this->budget.bytes(),
                            .connections = this->budget.connections()});
    }

    void make_room()
    {
        this->end_connections(this->budget.end_idle(monotonic_clock::now()),
                              http_load_event::kind::refused);
        if (this->budget.is_crowded())
            this->room_timer.start_once(room_interval);
    }

    void check_connections()
    {
        this->end_connections(this->budget.end_overdue(monotonic_clock::now()),
                              http_load_event::kind::timed_out);
        if (this->budget.take_trim_request())
            release_free_memory();
        if (this->observer)
            this->observer(
                {.bodies_bytes = this->budget.bytes(), .connections = this->budget.connections()});
    }

    MHD_Result respond_or_suspend(const std::shared_ptr<exchange>& current)
    {
        if (current->too_large)
            return send_response(current->connection, too_large_response(this->limits.body_bytes));
        if (!current->handler_called)
            this->call_handler(current);
        if (current->response)
            return send_response(current->connection, *current->response);
        current->suspended = true;
        this->suspended_connections.push_back(current->connection);
        MHD_suspend_connection(current->connection);
        return MHD_YES;
    }

    void call_handler(const std::shared_ptr<exchange>& current)
    {
        current->handler_called = true;
        ++this->pending;
        MHD_get_connection_values(current->connection, MHD_HEADER_KIND, collect_header,
                                  &current->request);
        MHD_get_connection_values(current->connection, MHD_GET_ARGUMENT_KIND, collect_query,
                                  &current->request);
        this->budget.finish_body(current->client->id);
        this->handler(current->request,
                      [this, current, alive = this->alive](http_response response) {
                          if (*alive)
                              this->respond(*current, std::move(response));
                      });
        if (this->limits.frees_handled_bodies && current->client != nullptr) {
            clear_body(*current);
            this->budget.release(current->client->id);
        }
    }

    void respond(exchange& current, http_response response)
    {
        if (current.response || current.finished)
            return;
        current.response = std::move(response);
        this->mark_finished(current);
        if (!current.suspended)
            return;
        current.suspended = false;
        std::erase(this->suspended_connections, current.connection);
        MHD_resume_connection(current.connection);
        this->run_timer.start_once(microseconds(0));
    }

    void mark_finished(exchange& current)
    {
        if (!current.handler_called || current.finished)
            return;
        current.finished = true;
        --this->pending;
    }

    void run_daemon()
    {
        MHD_run(this->daemon);
        this->arm_timer();
    }

    void arm_timer()
    {
        MHD_UNSIGNED_LONG_LONG timeout = 0;
        if (MHD_get_timeout(this->daemon, &timeout) == MHD_YES)
            this->run_timer.start_once(milliseconds(timeout));
        else
            this->run_timer.stop();
    }

    event_loop& loop;
    http_server_limits limits;
    http_handler handler;
    http_load_observer observer;
    body_budget budget;
    body_budget::connection_id last_id = 0;
    std::unordered_map<body_budget::connection_id, std::unique_ptr<client_connection>> clients;
    timer run_timer;
    timer check_timer;
    timer room_timer;
    std::unique_ptr<io_watcher> watcher;
    MHD_Daemon* daemon = nullptr;
    std::vector<MHD_Connection*> suspended_connections;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

absl::StatusOr<std::unique_ptr<http_server>>
http_server::listen(event_loop& loop, const endpoint& address, const http_server_limits& limits,
                    http_handler handler, http_load_observer observer)
{
    auto impl =
        std::make_unique<implementation>(loop, limits, std::move(handler), std::move(observer));
    if (auto status = impl->start(address); !status.ok())
        return status;
    return std::unique_ptr<http_server>(new http_server(std::move(impl)));
}

http_server::http_server(std::unique_ptr<implementation> impl) : impl(std::move(impl)) {}

http_server::~http_server() = default;

std::uint16_t http_server::port() const
{
    return this->impl->port();
}

std::size_t http_server::pending() const
{
    return this->impl->pending;
}

} // namespace verbenalever
