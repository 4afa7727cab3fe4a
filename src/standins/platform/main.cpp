// Stand-in for the platform's key-value service and VM list.

#include "common/serve.h"
#include "loop/event_loop.h"
#include "platform_service.h"
#include "timeline/event_log.h"

#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:0", "address and port to serve on");

namespace {

/// Above the limit of 1 MiB for a value, so that platform_service itself rejects larger values.
constexpr std::size_t body_limit_bytes = 2 << 20;

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("standin_platform --listen ADDRESS:PORT");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    verbenalever::event_loop loop;
    const verbenalever::event_log log("platform");
    standins::platform_service service(loop, log);
    return standins::serve(
        loop, FLAGS_listen, {.body_bytes = body_limit_bytes},
        [&service](const verbenalever::http_request& request,
                   verbenalever::http_responder respond) {
            service.dispatch(request, std::move(respond));
        },
        [&log](std::uint16_t port) {
            log.write("platform", "started", {{"port", port}});
        });
}
