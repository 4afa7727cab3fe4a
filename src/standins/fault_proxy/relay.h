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

/// One client's connection through the proxy: two descriptors and the bytes between them.
class relay {
public:
    /// Take over both descriptors.
    /// @param closed called once when either side has closed; may destroy the relay later
    relay(verbenalever::event_loop& loop, int client, int upstream, std::string client_address,
          std::string link, std::function<void(relay*)> on_closed);
    ~relay();
    relay(const relay&) = delete;
    relay& operator=(const relay&) = delete;

    /// Let nothing pass while @p silent; what was read stays queued.
    void set_blocked(bool blocked);

    /// Never let anything pass again.
    void freeze();

    void set_delay(verbenalever::milliseconds delay);

    [[nodiscard]] const std::string& client_address() const;
    [[nodiscard]] const std::string& link() const;

private:
    /// Bytes on their way, and when they may leave.
    struct chunk {
        verbenalever::monotonic_time send_at;
        std::string bytes;
    };

    /// One of the two ends.
    struct end {
        int descriptor = -1;
        std::unique_ptr<verbenalever::io_watcher> watcher;
        std::deque<chunk> outbound; ///< to be written to this end
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
