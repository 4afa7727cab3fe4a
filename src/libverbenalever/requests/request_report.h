#pragma once

namespace verbenalever {

class counters;
class event_log;
struct pending_request;
struct request_answer;

/// Count a request's final answer in the metrics and write its event to the log.
void report_answer(const pending_request& request, const request_answer& answer, counters& metrics,
                   const event_log& log);

} // namespace verbenalever
