#include "relay.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace standins {

using verbenalever::milliseconds;
using verbenalever::monotonic_clock;

namespace {

constexpr std::size_t max_read_bytes = 65536;
constexpr std::size_t max_queued_chunks = 64;

bool would_block()
{
    return errno == EAGAIN || errno == EINPROGRESS || errno == EINTR || errno == ENOTCONN;
}

} // namespace

relay::relay(verbenalever::event_loop& loop, int client, int upstream, std::string client_address,
             std::string link, std::function<void(relay*)> on_closed)
    : address(std::move(client_address)), link_name(std::move(link)),
      on_closed(std::move(on_closed)), delay_timer(loop, [this] { this->update_watchers(); })
{
    this->ends[0].descriptor = client;
    this->ends[1].descriptor = upstream;
    for (std::size_t side = 0; side < this->ends.size(); ++side) {
        const int on = 1;
        ::setsockopt(this->ends[side].descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        this->ends[side].watcher = std::make_unique<verbenalever::io_watcher>(
            loop, this->ends[side].descriptor, [this, side](bool readable, bool writable) {
                this->on_ready(side, readable, writable);
            });
    }
    this->update_watchers();
}

relay::~relay()
{
    for (auto& side : this->ends) {
        side.watcher.reset();
        ::close(side.descriptor);
    }
}

void relay::set_blocked(bool blocked)
{
    this->blocked = blocked;
    this->update_watchers();
}

void relay::freeze()
{
    this->frozen = true;
    this->update_watchers();
}

void relay::set_delay(milliseconds delay)
{
    this->delay = delay;
}

const std::string& relay::client_address() const
{
    return this->address;
}

const std::string& relay::link() const
{
    return this->link_name;
}

void relay::on_ready(std::size_t side, bool readable, bool writable)
{
    bool open = true;
    if (writable)
        open = this->write_to(side);
    if (open && readable)
        open = this->read_from(side);
    if (open)
        this->update_watchers();
    else
        this->close();
}

bool relay::read_from(std::size_t side)
{
    std::string bytes(max_read_bytes, '\0');
    const auto received_bytes = ::recv(this->ends[side].descriptor, bytes.data(), bytes.size(), 0);
    if (received_bytes < 0)
        return would_block();
    if (received_bytes == 0) {
        this->ends[side].read_closed = true;
        return !this->ends[1 - side].outbound.empty();
    }
    bytes.resize(static_cast<std::size_t>(received_bytes));
    this->ends[1 - side].outbound.push_back(
        {.send_at = monotonic_clock::now() + this->delay, .bytes = std::move(bytes)});
    return true;
}

bool relay::write_to(std::size_t side)
{
    auto& queue = this->ends[side].outbound;
    const auto now = monotonic_clock::now();
    while (!queue.empty() && queue.front().send_at <= now) {
        auto& bytes = queue.front().bytes;
        const auto sent_bytes =
            ::send(this->ends[side].descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent_bytes < 0)
            return would_block();
        bytes.erase(0, static_cast<std::size_t>(sent_bytes));
        if (!bytes.empty())
            return true;
        queue.pop_front();
    }
    return !queue.empty() || !this->ends[1 - side].read_closed;
}

void relay::update_watchers()
{
    if (this->finished)
        return;
    const bool stopped = this->blocked || this->frozen;
    const auto now = monotonic_clock::now();
    for (std::size_t side = 0; side < this->ends.size(); ++side) {
        auto& self = this->ends[side];
        const bool has_queue_space = this->ends[1 - side].outbound.size() < max_queued_chunks;
        const bool due = !self.outbound.empty() && self.outbound.front().send_at <= now;
        self.watcher->watch(!stopped && has_queue_space && !self.read_closed, !stopped && due);
        if (!stopped && !self.outbound.empty() && !due)
            this->delay_timer.start_once(
                std::chrono::ceil<verbenalever::microseconds>(self.outbound.front().send_at - now));
    }
}

void relay::close()
{
    if (this->finished)
        return;
    this->finished = true;
    for (auto& side : this->ends)
        side.watcher->watch(false, false);
    this->on_closed(this);
}

} // namespace standins
