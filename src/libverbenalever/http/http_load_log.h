#pragma once

namespace verbenalever {

class counters;
class event_log;
struct http_load_event;

/// Count what a server for callers reports, and log what it refuses or ends.
void record_http_load(const http_load_event& load, counters& metrics, const event_log& log);

} // namespace verbenalever
