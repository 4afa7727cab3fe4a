// Fault-injecting TCP proxy for tests.

#include "loop/endpoint.h"
#include "loop/event_loop.h"
#include "proxy_service.h"
#include "timeline/event_log.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <cstdio>

DEFINE_string(listen, "127.0.0.1:0", "address and port of the control interface");

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("standin_fault_proxy --listen ADDRESS:PORT");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto address = verbenalever::endpoint::parse(FLAGS_listen);
    if (!address.ok()) {
        fmt::print(stderr, "--listen: {}\n", std::string(address.status().message()));
        return 2;
    }
    verbenalever::event_loop loop;
    const verbenalever::event_log log("proxy");
    standins::proxy_service service(loop, log);
    const auto server =
        verbenalever::http_server::listen(loop, *address, {},
                                          [&service](const verbenalever::http_request& request,
                                                     verbenalever::http_responder respond) {
                                              service.dispatch(request, std::move(respond));
                                          });
    if (!server.ok()) {
        fmt::print(stderr, "{}\n", std::string(server.status().message()));
        return 1;
    }
    log.write("proxy", "started", {{"port", (*server)->port()}});
    loop.run();
    return 0;
}
