// Fault-injecting TCP proxy for tests.

#include "common/serve.h"
#include "loop/event_loop.h"
#include "proxy_service.h"
#include "timeline/event_log.h"

#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:0", "address and port of the control interface");

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("standin_fault_proxy --listen ADDRESS:PORT");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    verbenalever::event_loop loop;
    const verbenalever::event_log log("proxy");
    standins::proxy_service service(loop, log);
    return standins::serve(
        loop, FLAGS_listen, {},
        [&service](const verbenalever::http_request& request,
                   verbenalever::http_responder respond) {
            service.dispatch(request, std::move(respond));
        },
        [&log](std::uint16_t port) {
            log.write("proxy", "started", {{"port", port}});
        });
}
