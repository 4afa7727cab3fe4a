#pragma once

#include "loop/clock.h"
#include "loop/io_watcher.h"
#include "loop/timer.h"

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace standins {

/// Forwards the bytes of one client's connection to the upstream address and back.
class relay {
public:
    /// Owns both descriptors and closes them when destroyed.
    /// @param on_closed called once when the connection has ended; must not destroy the relay
    ///                  before it returns
    relay(verbenalever::event_loop& loop, int client, int upstream, std::string client_address,
          std::string link, std::function<void(relay*)> on_closed);
    ~relay();
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    /// Forward no bytes while @p blocked; bytes read before stay queued.
    void set_blocked(bool blocked);

    /// Forward no bytes from now on; cannot be undone.
    void freeze();

    /// Forward the bytes that are read from now on after @p delay.
    void set_delay(verbenalever::milliseconds delay);

    [[nodiscard]] const std::string& client_address() const;
    [[nodiscard]] const std::string& link() const;

private:
    /// Bytes that were read and the time at which they are written.
    struct chunk {
        verbenalever::monotonic_time send_at;
        std::string bytes;
    };

    /// One side of the connection: the client or the upstream address.
    struct end {
        int descriptor = -1;
        std::unique_ptr<verbenalever::io_watcher> watcher;
        std::deque<chunk> outbound; ///< to be written to this side
        bool read_closed = false;
    };

    void on_ready(std::size_t side, bool readable, bool writable);
    bool read_from(std::size_t side);
    bool write_to(std::size_t side);
    void update_watchers();
    void close();

    std::array<end, 2> ends;
    std::string address;
    std::string link_name;
    std::function<void(relay*)> on_closed;
    verbenalever::milliseconds delay{0};
    bool blocked = false;
    bool frozen = false;
    bool finished = false;
    verbenalever::timer delay_timer;
};

} // namespace standins
