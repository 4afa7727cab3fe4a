#pragma once

#include "loop/clock.h"

#include <cstddef>
#include <limits>

namespace verbenalever {

/// Limits of the request bodies that a server receives and of the connections that they come on.
/// The defaults set no limit.
struct body_budget_limits {
    static constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

    std::size_t small_body_bytes = 16U << 10U; ///< bodies up to this size have their own reserve
    std::size_t small_bytes = unlimited;       ///< memory for all small bodies
    std::size_t large_bytes = unlimited;       ///< memory for all larger bodies
    std::size_t connections = unlimited;       ///< above it, idle connections are ended
    milliseconds no_progress = milliseconds::max(); ///< a body without progress ends after it
    milliseconds whole_body = milliseconds::max();  ///< from the headers to the end of the body
    milliseconds no_request = milliseconds::max();  ///< from a connection or response to a request

    /// @param memory_mb memory of the VM in MB; 0: that of the deployments before the setting
    /// @param connections maximum number of open connections
    /// @param body_bytes largest body; one body fits even into the smallest memory
    /// @return limits that leave most of the memory to everything but request bodies
    [[nodiscard]] static body_budget_limits of_vm(std::size_t memory_mb, std::size_t connections,
                                                  std::size_t body_bytes);
};

/// @param max_descriptors of the process; 0: not known
/// @return number of callers' connections that leaves descriptors for peers, store and targets, at
///         most @p most
[[nodiscard]] unsigned connection_limit(std::size_t max_descriptors, unsigned most);

} // namespace verbenalever
