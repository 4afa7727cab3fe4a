#include "wire/frame_connection.h"

#include "loop/endpoint.h"
#include "loop/event_loop.h"
#include "loop/timer.h"
#include "wire/frame_listener.h"

#include <arpa/inet.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <vector>

namespace verbenalever {
namespace {

/// Guards against memory: each connection that announced a large frame could hold 4 MB of it.
TEST(frame_connection, incomplete_frames_of_all_accepted_connections_have_one_limit)
{
    constexpr std::size_t clients = 8;
    constexpr std::size_t sent_bytes = frame_connection::frame_limit - 1;
    event_loop loop;
    std::vector<std::unique_ptr<frame_connection>> accepted;
    std::size_t closed = 0;
    const auto listener = frame_listener::listen(
        loop, {.address = "127.0.0.1"}, [&](std::unique_ptr<frame_connection> connection) {
            auto& added = accepted.emplace_back(std::move(connection));
            added->set_handlers([](std::string_view) { ADD_FAILURE() << "no frame is complete"; },
                                [&, index = accepted.size() - 1] {
                                    ++closed;
                                    accepted[index].reset();
                                });
        });
    ASSERT_TRUE(listener.ok());
    const sockaddr_in address =
        endpoint{.address = "127.0.0.1", .port = (*listener)->port()}.socket_address();
    std::vector<int> sockets;
    std::string frame(sizeof(std::uint32_t) + sent_bytes, 'x');
    const std::uint32_t length = htonl(frame_connection::frame_limit);
    frame.replace(0, sizeof length, reinterpret_cast<const char*>(&length), sizeof length);
    std::vector<std::size_t> sent(clients);
    for (std::size_t number = 0; number < clients; ++number) {
        sockets.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        ASSERT_EQ(
            ::connect(sockets.back(), reinterpret_cast<const sockaddr*>(&address), sizeof address),
            0);
    }
    constexpr int max_rounds = 10'000;
    constexpr int rounds_after_sending = 1'000; // the listener reads what the sockets still hold
    int rounds = 0;
    int rounds_when_sent = 0;
    timer send_timer(loop, [&] {
        bool done = true;
        for (std::size_t number = 0; number < clients; ++number) {
            const auto rest = std::string_view(frame).substr(sent[number]);
            const auto got =
                ::send(sockets[number], rest.data(), rest.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
            if (got < 0 && errno != EAGAIN)
                sent[number] = frame.size(); // closed by the server
            else if (got > 0)
                sent[number] += static_cast<std::size_t>(got);
            done = done && sent[number] == frame.size();
        }
        rounds_when_sent += done ? 1 : 0;
        if (++rounds == max_rounds || rounds_when_sent == rounds_after_sending)
            loop.stop();
    });
    send_timer.start_repeating(milliseconds(1));
    loop.run();
    EXPECT_LT(rounds, max_rounds);
    EXPECT_GE(closed, clients / 2);
    EXPECT_LT(closed, clients);
    for (const int descriptor : sockets)
        ::close(descriptor);
}

} // namespace
} // namespace verbenalever
