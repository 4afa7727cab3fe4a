#pragma once

#include "loop/endpoint.h"
#include "loop/timer.h"
#include "store/vm_record.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace verbenalever {

class counters;
class http_client;
struct http_result;

/// Polls the platform's VM list and calls a handler after each successful poll. If the platform
/// sends entity tags, an unchanged list is not transferred again.
class vm_list_client {
public:
    /// @param text       the list as the platform sent it; empty when it has not changed
    /// @param read_at_us wall clock when the request was sent
    using handler = std::function<void(std::string_view text, std::int64_t read_at_us)>;

    vm_list_client(event_loop& loop, http_client& http, counters& metrics, const endpoint& platform,
                   handler on_list);

    /// Poll immediately and then every @p interval. After a failed poll the handler is not called.
    void start(milliseconds interval);

    /// Parse a list in the platform's format.
    /// @return INVALID_ARGUMENT when the text is malformed; VMs without a name or without a valid
    ///         address are omitted
    [[nodiscard]] static absl::StatusOr<std::vector<vm_record>> parse(std::string_view text);

private:
    void poll();
    void on_response(const http_result& result, std::int64_t read_at_us);

    http_client& http;
    counters& metrics;
    std::string url;
    std::string etag; ///< entity tag of the last received list
    bool last_poll_failed = false;
    handler on_list;
    timer poll_timer;
};

} // namespace verbenalever
