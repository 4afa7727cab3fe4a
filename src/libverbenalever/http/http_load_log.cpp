#include "http/http_load_log.h"

#include "http/http_load_event.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"

#include <cstdint>

namespace verbenalever {

void record_http_load(const http_load_event& load, counters& metrics, const event_log& log)
{
    using kind = http_load_event::kind;
    metrics.set("http_bodies_bytes", static_cast<std::int64_t>(load.bodies_bytes));
    metrics.set("http_connections", static_cast<std::int64_t>(load.connections));
    if (load.what == kind::usage)
        return;
    if (load.what == kind::refused)
        metrics.add("http_bodies_refused");
    else if (load.what == kind::timed_out)
        metrics.add("http_bodies_timed_out");
    const char* event = "connection_closed";
    if (load.what != kind::closed)
        event = load.what == kind::refused ? "body_refused" : "body_timed_out";
    log.write("requests", event,
              {{"source", load.source},
               {"received_bytes", load.body_bytes},
               {"bodies_bytes", load.bodies_bytes},
               {"connections", load.connections}});
}

} // namespace verbenalever
