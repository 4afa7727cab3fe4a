#pragma once

#include "wire/frame_connection.h"

#include <cstdint>

namespace verbenalever {

/// Accepts TCP connections and passes each to a handler as a frame_connection.
class frame_listener {
public:
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
};

} // namespace verbenalever
