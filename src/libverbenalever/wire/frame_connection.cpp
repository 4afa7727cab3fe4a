#include "wire/frame_connection.h"

#include "loop/endpoint.h"
#include "loop/event_loop.h"
#include "loop/io_watcher.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace verbenalever {

namespace {

constexpr std::size_t length_bytes = 4;
constexpr std::size_t read_chunk_bytes = 65536;
/// An empty buffer with more memory than this is freed, and an incomplete frame above it counts
/// against the shared limit.
constexpr std::size_t small_buffer_bytes = 65536;

/// Free the memory that one large frame has left behind.
void shrink_if_empty(std::string& buffer)
{
    if (buffer.empty() && buffer.capacity() > 2 * small_buffer_bytes)
        std::string().swap(buffer);
}

std::uint32_t decode_length(std::string_view bytes)
{
    std::uint32_t length = 0;
    std::memcpy(&length, bytes.data(), length_bytes);
    return ntohl(length);
}

bool would_block()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR || errno == EINPROGRESS;
}

} // namespace

absl::StatusOr<std::unique_ptr<frame_connection>>
frame_connection::connect(event_loop& loop, const endpoint& to, const std::string& local_address)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return absl::UnavailableError(
            fmt::format("cannot create a socket: {}", std::strerror(errno)));
    if (!local_address.empty()) {
        const sockaddr_in from = endpoint{.address = local_address}.socket_address();
        // An address that cannot be bound shows up as a failed connection.
        static_cast<void>(
            ::bind(descriptor, reinterpret_cast<const sockaddr*>(&from), sizeof from));
    }
    const sockaddr_in address = to.socket_address();
    const int result =
        ::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    if (result != 0 && errno != EINPROGRESS) {
        const int reason = errno;
        ::close(descriptor);
        const auto text = fmt::format("cannot connect to {}: {}", to.text(), std::strerror(reason));
        return reason == ECONNREFUSED ? absl::FailedPreconditionError(text)
                                      : absl::UnavailableError(text);
    }
    return std::make_unique<frame_connection>(loop, descriptor);
}

frame_connection::frame_connection(event_loop& loop, int descriptor)
    : descriptor(descriptor), last_received_at(monotonic_clock::now())
{
    const int on = 1;
    ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    this->watcher =
        std::make_unique<io_watcher>(loop, descriptor, [this](bool readable, bool writable) {
            this->handle_readiness(readable, writable);
        });
    this->watcher->watch(true, false);
}

frame_connection::~frame_connection()
{
    *this->alive = false;
    if (this->held_by_all)
        *this->held_by_all -= this->held;
    this->watcher.reset();
    ::close(this->descriptor);
}

void frame_connection::set_handlers(frame_handler frame, close_handler close)
{
    this->on_frame = std::move(frame);
    this->on_close = std::move(close);
}

void frame_connection::send(std::string_view frame)
{
    if (this->closed || frame.size() > frame_limit)
        return;
    const std::uint32_t length = htonl(static_cast<std::uint32_t>(frame.size()));
    this->output.append(reinterpret_cast<const char*>(&length), length_bytes);
    this->output.append(frame);
    this->update_interest();
}

monotonic_time frame_connection::last_received() const
{
    return this->last_received_at;
}

std::size_t frame_connection::unsent() const
{
    return this->output.size() - this->output_sent;
}

void frame_connection::handle_readiness(bool readable, bool writable)
{
    const auto still_alive = this->alive;
    bool open = true;
    if (writable)
        open = this->write_available();
    if (open && readable)
        open = this->read_available();
    if (!*still_alive)
        return;
    if (open) {
        this->update_interest();
        return;
    }
    this->closed = true;
    this->watcher->watch(false, false);
    if (this->on_close) {
        const auto notify = std::move(this->on_close);
        notify();
    }
}

bool frame_connection::read_available()
{
    std::array<char, read_chunk_bytes> chunk{};
    const auto got = ::recv(this->descriptor, chunk.data(), chunk.size(), 0);
    if (got < 0)
        return would_block();
    if (got == 0)
        return false;
    this->last_received_at = monotonic_clock::now();
    this->input.append(chunk.data(), static_cast<std::size_t>(got));
    return this->deliver_frames() && this->count_input();
}

bool frame_connection::deliver_frames()
{
    const auto still_alive = this->alive;
    std::size_t consumed = 0;
    while (this->input.size() - consumed >= length_bytes) {
        const auto rest = std::string_view(this->input).substr(consumed);
        const std::size_t length = decode_length(rest);
        if (length > frame_limit)
            return false;
        if (rest.size() < length_bytes + length)
            break;
        if (this->on_frame)
            this->on_frame(rest.substr(length_bytes, length));
        if (!*still_alive)
            return false;
        consumed += length_bytes + length;
    }
    this->input.erase(0, consumed);
    shrink_if_empty(this->input);
    return true;
}

void frame_connection::share_input_limit(std::shared_ptr<std::size_t> held, std::size_t limit)
{
    this->held_by_all = std::move(held);
    this->held_limit = limit;
}

bool frame_connection::count_input()
{
    if (!this->held_by_all)
        return true;
    const auto size = this->input.size() > small_buffer_bytes ? this->input.size() : 0;
    *this->held_by_all += size - this->held;
    this->held = size;
    return size == 0 || *this->held_by_all <= this->held_limit;
}

bool frame_connection::write_available()
{
    const auto rest = std::string_view(this->output).substr(this->output_sent);
    const auto sent = ::send(this->descriptor, rest.data(), rest.size(), MSG_NOSIGNAL);
    if (sent < 0)
        return would_block();
    this->output_sent += static_cast<std::size_t>(sent);
    if (this->output_sent == this->output.size()) {
        this->output.clear();
        shrink_if_empty(this->output);
        this->output_sent = 0;
    }
    return true;
}

void frame_connection::update_interest()
{
    this->watcher->watch(true, this->unsent() > 0);
}

} // namespace verbenalever
