#pragma once

#include "http/http_server.h"

#include <cstdint>
#include <functional>
#include <string>

namespace standins {

/// Serve HTTP on the address of the flag --listen until the process ends.
/// @param listen  "ADDRESS:PORT"
/// @param started called with the bound port, before the first request
/// @return the process's exit code: 2 for a malformed address, 1 when the address cannot be bound
int serve(verbenalever::event_loop& loop, const std::string& listen,
          const verbenalever::http_server_limits& limits, verbenalever::http_handler handler,
          const std::function<void(std::uint16_t port)>& started);

} // namespace standins
