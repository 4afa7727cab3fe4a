#pragma once

#include "wire/frame_connection.h"

#include <cstddef>
#include <cstdint>

namespace verbenalever {

/// Accepts TCP connections and passes each to a handler as a frame_connection.
class frame_listener {
public:
    /// Limit of the incomplete frames of all accepted connections, in bytes.
    static constexpr std::size_t held_limit = 4 * frame_connection::frame_limit;

    using accept_handler = std::function<void(std::unique_ptr<frame_connection>)>;

    /// @param on_accept called for each accepted connection
    /// @return UNAVAILABLE when the address cannot be bound
    [[nodiscard]] static absl::StatusOr<std::unique_ptr<frame_listener>>
    listen(event_loop& loop, const endpoint& address, accept_handler on_accept);

    ~frame_listener();
    frame_listener(const frame_listener&) = delete;
    frame_listener& operator=(const frame_listener&) = delete;

    /// @return the port that is listened on; chosen by the system when port 0 was given
    [[nodiscard]] std::uint16_t port() const;

private:
    frame_listener(event_loop& loop, int descriptor, accept_handler on_accept);
    void accept_available();

    event_loop& loop;
    int descriptor;
    accept_handler on_accept;
    std::unique_ptr<io_watcher> watcher;
    std::shared_ptr<std::size_t> held_bytes = std::make_shared<std::size_t>(0);
};

} // namespace verbenalever
