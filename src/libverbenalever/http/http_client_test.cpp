#include "http/http_client.h"

#include "http/http_server.h"
#include "loop/endpoint.h"
#include "loop/event_loop.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <thread>

namespace {

using verbenalever::endpoint;
using verbenalever::event_loop;
using verbenalever::http_client;
using verbenalever::http_request;
using verbenalever::http_responder;
using verbenalever::http_result;
using verbenalever::http_server;

http_result call_and_wait(event_loop& loop, http_client& client, verbenalever::http_call request)
{
    http_result result;
    client.start(std::move(request), [&](http_result got) {
        result = std::move(got);
        loop.stop();
    });
    loop.run();
    return result;
}

/// Responds to the first request on each connection; reads the second and closes the connection
/// without a response.
class closing_server {
public:
    closing_server() : descriptor(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    {
        const auto address = endpoint{.address = "127.0.0.1"}.socket_address();
        EXPECT_EQ(::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address),
                  0);
        EXPECT_EQ(::listen(descriptor, 8), 0);
        this->thread = std::thread([this] { this->serve(); });
    }
    ~closing_server()
    {
        ::shutdown(this->descriptor, SHUT_RDWR);
        this->thread.join();
        ::close(this->descriptor);
    }
    closing_server(const closing_server&) = delete;
    closing_server& operator=(const closing_server&) = delete;

    [[nodiscard]] std::uint16_t port() const
    {
        sockaddr_in bound{};
        socklen_t size = sizeof bound;
        ::getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&bound), &size);
        return ntohs(bound.sin_port);
    }

    std::atomic<int> requests = 0;

private:
    void serve()
    {
        while (true) {
            const int connection = ::accept(this->descriptor, nullptr, nullptr);
            if (connection < 0)
                return;
            if (this->read_request(connection)) {
                const std::string response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
                EXPECT_GT(::send(connection, response.data(), response.size(), MSG_NOSIGNAL), 0);
                this->read_request(connection);
            }
            ::close(connection);
        }
    }

    bool read_request(int connection)
    {
        std::array<char, 4096> buffer{};
        if (::recv(connection, buffer.data(), buffer.size(), 0) <= 0)
            return false;
        ++this->requests;
        return true;
    }

    int descriptor;
    std::thread thread;
};

// By default libcurl resends a request when the reused connection closes before the response, so
// that the server could execute the request twice.
TEST(http_client, does_not_resend_a_request_when_a_reused_connection_closes)
{
    closing_server server;
    event_loop loop;
    http_client client(loop);
    const auto url = fmt::format("http://127.0.0.1:{}/", server.port());
    EXPECT_TRUE(call_and_wait(loop, client, {.method = "POST", .url = url}).success());
    const auto second = call_and_wait(loop, client, {.method = "POST", .url = url});
    EXPECT_FALSE(second.transport.ok());
    EXPECT_TRUE(second.may_have_been_sent);
    EXPECT_EQ(server.requests, 2);
}

TEST(http_client, reports_nothing_sent_when_the_connection_is_refused)
{
    event_loop loop;
    http_client client(loop);
    const auto result =
        call_and_wait(loop, client, {.method = "POST", .url = "http://127.0.0.1:1/"});
    EXPECT_FALSE(result.transport.ok());
    EXPECT_FALSE(result.may_have_been_sent);
}

TEST(http_server, sends_a_delayed_response_and_rejects_a_large_body)
{
    event_loop loop;
    http_client client(loop);
    http_responder pending_responder;
    const auto server = http_server::listen(
        loop, {.address = "127.0.0.1"}, {.body_bytes = 10},
        [&](const http_request& request, http_responder respond) {
            EXPECT_EQ(request.body, "0123456789");
            pending_responder = std::move(respond);
            client.start({.url = "http://127.0.0.1:1/"}, [&](const http_result&) {
                pending_responder({.status = 202, .headers = {}, .body = "late"});
            });
        });
    ASSERT_TRUE(server.ok());
    const auto url = fmt::format("http://127.0.0.1:{}/", (*server)->port());
    const auto late =
        call_and_wait(loop, client, {.method = "POST", .url = url, .body = "0123456789"});
    EXPECT_EQ(late.status, 202);
    EXPECT_EQ(late.body, "late");
    const auto large =
        call_and_wait(loop, client, {.method = "POST", .url = url, .body = "0123456789a"});
    EXPECT_EQ(large.status, 413);
}

TEST(http_server, refuses_a_body_without_room_and_does_not_run_it)
{
    event_loop loop;
    http_client client(loop);
    int handled = 0;
    const auto server = http_server::listen(
        loop, {.address = "127.0.0.1"},
        {.bodies = {.small_body_bytes = 10, .small_bytes = 100, .large_bytes = 100},
         .refusal_body = R"({"error":"503"})"},
        [&](const http_request&, const http_responder& respond) {
            ++handled;
            respond({.status = 200, .headers = {}, .body = {}});
        });
    ASSERT_TRUE(server.ok());
    const auto url = fmt::format("http://127.0.0.1:{}/", (*server)->port());
    const auto call = [&](std::size_t bytes) {
        return call_and_wait(loop, client,
                             {.method = "POST", .url = url, .body = std::string(bytes, 'x')});
    };
    EXPECT_EQ(call(75).status, 200);
    const auto refused = call(500);
    EXPECT_EQ(refused.status, 503);
    EXPECT_EQ(refused.body, R"({"error":"503"})");
    EXPECT_EQ(find_header(refused.headers, "Retry-After"), "1");
    EXPECT_EQ(call(75).status, 200);
    EXPECT_EQ(handled, 2);
}

} // namespace
