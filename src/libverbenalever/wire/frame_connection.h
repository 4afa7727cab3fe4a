#pragma once

#include "loop/clock.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace verbenalever {

class event_loop;
class io_watcher;
struct endpoint;

/// A TCP connection that carries frames: a 4-byte big-endian length, then that many bytes.
class frame_connection {
public:
    using frame_handler = std::function<void(std::string_view)>;
    using close_handler = std::function<void()>;

    /// Largest frame sent or accepted, in bytes.
    static constexpr std::size_t frame_limit = 4U << 20U;

    /// Start to connect. A failure after this call has returned is reported by the close handler.
    /// @param local_address IPv4 address to connect from; empty: any
    /// @return FAILED_PRECONDITION when the connection is refused at once, UNAVAILABLE
    ///         after another error
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<frame_connection>>
    connect(event_loop& loop, const endpoint& to, const std::string& local_address = {});

    /// @param descriptor connected (or connecting) non-blocking socket; closed by the destructor
    frame_connection(event_loop& loop, int descriptor);
    ~frame_connection();
    frame_connection(const frame_connection&) = delete;
    frame_connection& operator=(const frame_connection&) = delete;

    /// Set the handlers for received frames and for the end of the connection. The close handler is
    /// called at most once, as the last action of this object; it may destroy the connection.
    void set_handlers(frame_handler frame, close_handler close);

    /// Queue one frame. A frame above frame_limit, or on a closed connection, is dropped.
    void send(std::string_view frame);

    /// Count incomplete frames of this connection together with those of others. A connection that
    /// exceeds the limit closes. Frames up to 64 KB are not counted.
    /// @param held bytes of incomplete frames, shared by the connections
    /// @param limit of that sum, in bytes
    void share_input_limit(std::shared_ptr<std::size_t> held, std::size_t limit);

    /// @return when data was last received; before that, when this object was created
    [[nodiscard]] monotonic_time last_received() const;

    /// @return number of queued bytes that are not yet written to the socket
    [[nodiscard]] std::size_t unsent() const;

private:
    void handle_readiness(bool readable, bool writable);
    bool read_available();
    bool write_available();
    bool deliver_frames();
    void update_interest();
    [[nodiscard]] bool count_input();

    int descriptor;
    std::unique_ptr<io_watcher> watcher;
    frame_handler on_frame;
    close_handler on_close;
    std::string input;
    std::string output;
    std::size_t output_sent = 0;
    std::shared_ptr<std::size_t> held_by_all;
    std::size_t held_limit = 0;
    std::size_t held = 0; ///< part of held_by_all that is this connection's
    bool closed = false;
    monotonic_time last_received_at;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace verbenalever
