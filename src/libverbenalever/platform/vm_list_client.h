#pragma once

#include "loop/endpoint.h"
#include "loop/timer.h"
#include "platform/vm_record.h"

#include <absl/status/statusor.h>

#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace verbenalever {

class counters;
class http_client;

/// Polls the platform's VM list and tells of each list that arrives.
class vm_list_client {
public:
    using handler = std::function<void(std::span<const vm_record>)>;

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

    http_client& http;
    counters& metrics;
    std::string url;
    handler received;
    timer poll_timer;
};

} // namespace verbenalever
