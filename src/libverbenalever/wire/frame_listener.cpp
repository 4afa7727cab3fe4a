#include "wire/frame_listener.h"

#include "loop/endpoint.h"
#include "loop/event_loop.h"
#include "loop/io_watcher.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>

namespace verbenalever {

namespace {

constexpr int listen_backlog = 256;

} // namespace

absl::StatusOr<std::unique_ptr<frame_listener>>
frame_listener::listen(event_loop& loop, const endpoint& address, accept_handler on_accept)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in socket_address = address.socket_address();
    if (::bind(descriptor, reinterpret_cast<const sockaddr*>(&socket_address),
               sizeof socket_address) != 0 ||
        ::listen(descriptor, listen_backlog) != 0) {
        const auto message =
            fmt::format("cannot listen on {}: {}", address.text(), std::strerror(errno));
        ::close(descriptor);
        return absl::UnavailableError(message);
    }
    return std::unique_ptr<frame_listener>(
        new frame_listener(loop, descriptor, std::move(on_accept)));
}

frame_listener::frame_listener(event_loop& loop, int descriptor, accept_handler on_accept)
    : loop(loop), descriptor(descriptor), on_accept(std::move(on_accept)),
      watcher(std::make_unique<io_watcher>(loop, descriptor,
                                           [this](bool, bool) { this->accept_available(); }))
{
    this->watcher->watch(true, false);
}

frame_listener::~frame_listener()
{
    this->watcher.reset();
    ::close(this->descriptor);
}

std::uint16_t frame_listener::port() const
{
    sockaddr_in bound{};
    socklen_t size = sizeof bound;
    ::getsockname(this->descriptor, reinterpret_cast<sockaddr*>(&bound), &size);
    return ntohs(bound.sin_port);
}

void frame_listener::accept_available()
{
    while (true) {
        const int connection =
            ::accept4(this->descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (connection < 0)
            return;
        auto accepted = std::make_unique<frame_connection>(this->loop, connection);
        accepted->share_input_limit(this->held_bytes, held_limit);
        this->on_accept(std::move(accepted));
    }
}

} // namespace verbenalever
