// Stand-in for the platform's key-value service and VM list.

#include "loop/endpoint.h"
#include "loop/event_loop.h"
#include "platform_service.h"
#include "timeline/event_log.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <cstdio>

DEFINE_string(listen, "127.0.0.1:0", "address and port to serve on");

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("standin_platform --listen ADDRESS:PORT");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto address = verbenalever::endpoint::parse(FLAGS_listen);
    if (!address.ok()) {
        fmt::print(stderr, "--listen: {}\n", std::string(address.status().message()));
        return 2;
    }
    verbenalever::event_loop loop;
    const verbenalever::event_log log("platform");
    standins::platform_service service(loop, log);
    const auto server =
        verbenalever::http_server::listen(loop, *address, {.body_bytes = 2 << 20},
                                          [&service](const verbenalever::http_request& request,
                                                     verbenalever::http_responder respond) {
                                              service.dispatch(request, std::move(respond));
                                          });
    if (!server.ok()) {
        fmt::print(stderr, "{}\n", std::string(server.status().message()));
        return 1;
    }
    log.write("platform", "started", {{"port", (*server)->port()}});
    loop.run();
    return 0;
}
