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

/// Polls the platform's VM list and tells of each list that arrives. A list that has not changed
/// is not sent again when the platform gives entity tags.
class vm_list_client {
public:
    /// @param text       the list as the platform sent it; empty when it is still the one before
    /// @param read_at_us wall clock before it was asked for
    using handler = std::function<void(std::string_view text, std::int64_t read_at_us)>;

    vm_list_client(event_loop& loop, http_client& http, counters& metrics, const endpoint& platform,
                   handler received);

    /// Poll now and then every @p interval. A failed poll changes nothing.
    void start(milliseconds interval);

    /// Read a list as the platform sends it.
    /// @return INVALID_ARGUMENT when the text is not such a list; entries that name no usable
    ///         address are left out
    [[nodiscard]] static absl::StatusOr<std::vector<vm_record>> parse(std::string_view text);

private:
    void poll();
    void answered(const http_result& result, std::int64_t read_at_us);

    http_client& http;
    counters& metrics;
    std::string url;
    std::string etag; ///< of the list received last
    bool failed = false;
    handler received;
    timer poll_timer;
};

} // namespace verbenalever
