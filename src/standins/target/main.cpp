// Stand-in for one target (a worker of the platform).

#include "loop/endpoint.h"
#include "loop/event_loop.h"
#include "target_service.h"
#include "timeline/event_log.h"

#include <fmt/format.h>
#include <gflags/gflags.h>

#include <cstdio>

DEFINE_string(listen, "127.0.0.1:0", "address and port to serve on");
DEFINE_string(name, "target", "the target's name");
DEFINE_string(availability_zone, "", "where the target stands; only told to the time line");
DEFINE_int64(slots, 8, "requests and tasks at a time");
DEFINE_int64(processors, 16, "processors");
DEFINE_int64(memory_mb, 65536, "memory, in megabytes");
DEFINE_int64(accelerators, 0, "accelerators");
DEFINE_bool(enforce_capacity, false, "refuse tasks that do not fit");

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("standin_target --listen ADDRESS:PORT --name NAME");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const auto address = verbenalever::endpoint::parse(FLAGS_listen);
    if (!address.ok()) {
        fmt::print(stderr, "--listen: {}\n", std::string(address.status().message()));
        return 2;
    }
    verbenalever::event_loop loop;
    const verbenalever::event_log log(FLAGS_name);
    const verbenalever::resources capacity{.slots = FLAGS_slots,
                                           .processors_milli = FLAGS_processors * 1000,
                                           .memory_mb = FLAGS_memory_mb,
                                           .accelerators = FLAGS_accelerators};
    standins::target_service service(loop, log, FLAGS_name, capacity, FLAGS_enforce_capacity);
    const auto server =
        verbenalever::http_server::listen(loop, *address, {.body_bytes = 64 << 20},
                                          [&service](const verbenalever::http_request& request,
                                                     verbenalever::http_responder respond) {
                                              service.dispatch(request, std::move(respond));
                                          });
    if (!server.ok()) {
        fmt::print(stderr, "{}\n", std::string(server.status().message()));
        return 1;
    }
    log.write("target", "started",
              {{"availability_zone", FLAGS_availability_zone},
               {"slots", capacity.slots},
               {"processors_milli", capacity.processors_milli},
               {"memory_mb", capacity.memory_mb},
               {"accelerators", capacity.accelerators}});
    loop.run();
    return 0;
}
