#include "http/http_server.h"

#include "loop/endpoint.h"
#include "loop/event_loop.h"
#include "loop/io_watcher.h"
#include "loop/timer.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <microhttpd.h>
#include <netinet/in.h>

#include <array>
#include <charconv>
#include <optional>

namespace verbenalever {

namespace {

constexpr int status_payload_too_large = 413;

/// State of one request, from its headers to the end of its response.
struct exchange {
    MHD_Connection* connection = nullptr;
    http_request request;
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

bool declares_body_larger_than(const http_request& request, std::size_t limit)
{
    const auto length = request.header("Content-Length");
    std::size_t value = 0;
    const auto [end, error] = std::from_chars(length.data(), length.data() + length.size(), value);
    return !length.empty() && (error != std::errc() || value > limit);
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
    implementation(event_loop& loop, const http_server_limits& limits, http_handler handler)
        : loop(loop), limits(limits), handler(std::move(handler)),
          run_timer(loop, [this] { this->run_daemon(); })
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
            &implementation::on_completed, this, MHD_OPTION_END);
        if (this->daemon == nullptr)
            return absl::UnavailableError(fmt::format("cannot listen on {}", address.text()));
        const auto* info = MHD_get_daemon_info(this->daemon, MHD_DAEMON_INFO_EPOLL_FD);
        this->watcher = std::make_unique<io_watcher>(this->loop, info->epoll_fd,
                                                     [this](bool, bool) { this->run_daemon(); });
        this->watcher->watch(true, false);
        this->arm_timer();
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
        if (stored_exchange == nullptr) {
            *context = server.begin_exchange(connection, url, method);
            return MHD_YES;
        }
        exchange& current = **stored_exchange;
        if (*upload_size > 0) {
            server.append_body(current, {upload, *upload_size});
            *upload_size = 0;
            return MHD_YES;
        }
        return server.respond_or_suspend(*stored_exchange);
    }

    static void on_completed(void* self, MHD_Connection* connection, void** context,
                             MHD_RequestTerminationCode)
    {
        auto& server = *static_cast<implementation*>(self);
        auto* stored_exchange = static_cast<std::shared_ptr<exchange>*>(*context);
        if (stored_exchange == nullptr)
            return;
        server.mark_finished(**stored_exchange);
        std::erase(server.suspended_connections, connection);
        delete stored_exchange;
        *context = nullptr;
    }

    std::shared_ptr<exchange>* begin_exchange(MHD_Connection* connection, const char* url,
                                              const char* method)
    {
        auto current = std::make_shared<exchange>();
        current->connection = connection;
        current->request.method = method;
        current->request.path = url;
        current->request.source = client_address(connection);
        MHD_get_connection_values(connection, MHD_HEADER_KIND, collect_header, &current->request);
        MHD_get_connection_values(connection, MHD_GET_ARGUMENT_KIND, collect_query,
                                  &current->request);
        current->too_large = declares_body_larger_than(current->request, this->limits.body_bytes);
        return new std::shared_ptr<exchange>(std::move(current));
    }

    void append_body(exchange& current, std::string_view part) const
    {
        if (current.request.body.size() + part.size() > this->limits.body_bytes)
            current.too_large = true;
        if (!current.too_large)
            current.request.body += part;
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
        this->handler(current->request,
                      [this, current, alive = this->alive](http_response response) {
                          if (*alive)
                              this->respond(*current, std::move(response));
                      });
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
    timer run_timer;
    std::unique_ptr<io_watcher> watcher;
    MHD_Daemon* daemon = nullptr;
    std::vector<MHD_Connection*> suspended_connections;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

absl::StatusOr<std::unique_ptr<http_server>> http_server::listen(event_loop& loop,
                                                                 const endpoint& address,
                                                                 const http_server_limits& limits,
                                                                 http_handler handler)
{
    auto impl = std::make_unique<implementation>(loop, limits, std::move(handler));
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
