#pragma once

#include "http/body_budget_limits.h"
#include "loop/clock.h"

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace verbenalever {

/// Decides which request bodies may use memory and which connections are ended to make room. It has
/// no socket and no loop: the server tells it what happens and ends the connections that it names.
/// Memory of an ended connection no longer counts; the server frees it at once.
class body_budget {
public:
    using connection_id = std::uint64_t;

    /// Answer to a request for memory.
    struct verdict {
        bool granted = false;
        std::vector<connection_id> ended; ///< connections to end; empty unless granted
    };

    explicit body_budget(const body_budget_limits& limits);

    /// A client has connected.
    /// @param address of the client, for its part of the memory
    void open(connection_id id, std::string_view address, monotonic_time now);

    /// @return whether there are so many connections that idle ones are to be ended
    [[nodiscard]] bool is_crowded() const;

    /// While it is crowded, end the connections that have been idle for longest, and more of them
    /// than needed: a server without free connections does not learn of new clients.
    /// @return connections to end
    [[nodiscard]] std::vector<connection_id> end_idle(monotonic_time now);

    /// The headers of a request are complete.
    void start_body(connection_id id, monotonic_time now);

    /// Ask for memory for the body of a connection, in the place of what it has.
    /// @param bytes new size of the buffer
    /// @return not granted: the memory of the connection is released, and it is to be ended
    [[nodiscard]] verdict reserve(connection_id id, std::size_t bytes, monotonic_time now);

    /// Count bytes of a body that have arrived.
    void receive(connection_id id, std::size_t bytes, monotonic_time now);

    /// The body is complete. The connection is not ended until the response has been sent.
    void finish_body(connection_id id);

    /// The buffer of the body has been freed.
    void release(connection_id id);

    /// The response has been sent, and the connection may carry another request.
    void finish_request(connection_id id, monotonic_time now);

    /// The connection is closed, or about to be.
    void close(connection_id id);

    /// @return whether the connection was named as one to end
    [[nodiscard]] bool is_ended(connection_id id) const;

    /// @return connections to end since one of their time limits has passed
    [[nodiscard]] std::vector<connection_id> end_overdue(monotonic_time now);

    /// @return whether memory is to be given back to the system: much less is in use than at the
    ///         peak since the last call that returned true, or large bodies have been handled
    [[nodiscard]] bool take_trim_request();

    /// @return memory of all bodies in bytes
    [[nodiscard]] std::size_t bytes() const;

    /// @return number of open connections
    [[nodiscard]] std::size_t connections() const;

private:
    enum class phase { waiting, receiving, handling, ended };
    enum class pool { none, small, large };

    struct entry {
        connection_id id = 0;
        std::string address;
        phase now_in = phase::waiting;
        pool charged_to = pool::none;
        std::size_t charged = 0;
        std::size_t since_progress = 0; ///< bytes received since progress was last counted
        monotonic_time last_progress;
        monotonic_time body_started;
    };

    struct usage {
        std::size_t small = 0;
        std::size_t large = 0;
        std::size_t connections = 0;
        [[nodiscard]] std::size_t& of(pool which);
    };

    using entry_list = std::list<entry>;

    [[nodiscard]] std::size_t limit_of(pool which) const;
    void uncharge(entry& connection);
    void mark_progress(entry_list::iterator connection, monotonic_time now);
    void end(entry_list::iterator connection);
    [[nodiscard]] bool is_overdue(const entry& connection, monotonic_time now) const;

    body_budget_limits limits;
    /// Connections that may be ended, the one without progress for longest first.
    entry_list endable;
    /// Connections whose request is handled, and those that have been ended and not yet closed.
    entry_list others;
    std::unordered_map<connection_id, entry_list::iterator> by_id;
    std::map<std::string, usage, std::less<>> by_address;
    usage total;
    std::size_t ended_count = 0;
    std::size_t peak_bytes = 0;
    std::size_t peak_connections = 0;
    bool large_body_handled = false;
};

} // namespace verbenalever
