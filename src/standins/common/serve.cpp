#include "common/serve.h"

#include "loop/endpoint.h"
#include "loop/event_loop.h"

#include <fmt/format.h>

#include <cstdio>

namespace standins {

int serve(verbenalever::event_loop& loop, const std::string& listen,
          const verbenalever::http_server_limits& limits, verbenalever::http_handler handler,
          const std::function<void(std::uint16_t port)>& started)
{
    const auto address = verbenalever::endpoint::parse(listen);
    if (!address.ok()) {
        fmt::print(stderr, "--listen: {}\n", std::string(address.status().message()));
        return 2;
    }
    const auto server =
        verbenalever::http_server::listen(loop, *address, limits, std::move(handler));
    if (!server.ok()) {
        fmt::print(stderr, "{}\n", std::string(server.status().message()));
        return 1;
    }
    started((*server)->port());
    loop.run();
    return 0;
}

} // namespace standins
