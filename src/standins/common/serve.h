#pragma once

#include "http/http_server.h"

#include <cstdint>
#include <functional>
#include <string>

namespace standins {

/// Serve HTTP on the address that the command line names until the process ends.
/// @param listen  "ADDRESS:PORT"
/// @param started called with the port bound, before the first request
/// @return the process's exit code: 2 for a malformed address, 1 when it cannot be bound
int serve(verbenalever::event_loop& loop, const std::string& listen,
          const verbenalever::http_server_limits& limits, verbenalever::http_handler handler,
          const std::function<void(std::uint16_t port)>& started);

} // namespace standins
