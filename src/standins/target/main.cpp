// Stand-in for one target (a worker of the platform).

#include "common/serve.h"
#include "loop/event_loop.h"
#include "target_service.h"
#include "timeline/event_log.h"

#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:0", "address and port to serve on");
DEFINE_string(name, "target", "the target's name");
DEFINE_string(availability_zone, "", "where the target stands; only told to the time line");
DEFINE_int64(slots, 8, "requests and tasks at a time");
DEFINE_int64(processors, 16, "processors");
DEFINE_int64(memory_mb, 65536, "memory, in megabytes");
DEFINE_int64(accelerators, 0, "accelerators");
DEFINE_bool(enforce_capacity, false, "refuse tasks that do not fit");

namespace {

constexpr std::size_t body_limit_bytes = 64 << 20;
constexpr std::int64_t milli_per_processor = 1000;

} // namespace

int main(int argc, char** argv)
{
    gflags::SetUsageMessage("standin_target --listen ADDRESS:PORT --name NAME");
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    verbenalever::event_loop loop;
    const verbenalever::event_log log(FLAGS_name);
    const verbenalever::resources capacity{.slots = FLAGS_slots,
                                           .processors_milli =
                                               FLAGS_processors * milli_per_processor,
                                           .memory_mb = FLAGS_memory_mb,
                                           .accelerators = FLAGS_accelerators};
    standins::target_service service(loop, log, FLAGS_name, capacity, FLAGS_enforce_capacity);
    return standins::serve(
        loop, FLAGS_listen, {.body_bytes = body_limit_bytes},
        [&service](const verbenalever::http_request& request,
                   verbenalever::http_responder respond) {
            service.dispatch(request, std::move(respond));
        },
        [&log, &capacity](std::uint16_t) {
            log.write("target", "started",
                      {{"availability_zone", FLAGS_availability_zone},
                       {"slots", capacity.slots},
                       {"processors_milli", capacity.processors_milli},
                       {"memory_mb", capacity.memory_mb},
                       {"accelerators", capacity.accelerators}});
        });
}
