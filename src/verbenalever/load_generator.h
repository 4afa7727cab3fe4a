#pragma once

#include "http/http_result.h"
#include "loop/clock.h"
#include "loop/io_watcher.h"
#include "timeline/latency_histogram.h"

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace tool {

class session;

/// Open-loop load generator: sends requests at Poisson arrival times, whether or not earlier ones
/// were answered, and measures each latency from the time at which the request was due. Uses a
/// timer descriptor, since the event loop's own timers have a resolution of one millisecond.
class load_generator {
public:
    /// Read the settings from the flags of the load verb.
    explicit load_generator(session& current_session);
    ~load_generator();
    load_generator(const load_generator&) = delete;
    load_generator& operator=(const load_generator&) = delete;

    /// Send requests for the time of --duration_s, then wait for the outstanding responses.
    void run();

    /// Print the statistics of each queue as a table, JSON or CSV.
    void print_report() const;

    [[nodiscard]] std::int64_t answered() const;

private:
    /// Request counts by outcome and the latencies of one queue.
    struct queue_statistics {
        std::int64_t sent = 0;
        std::int64_t answered = 0;
        std::int64_t not_run = 0;
        std::int64_t unknown = 0;
        verbenalever::latency_histogram latency;
    };

    /// One queue and its weight in the random choice of queues.
    struct weighted_queue {
        std::string queue;
        double weight = 1;
    };

    void on_timer();
    /// Send every request whose arrival time has come.
    void send_due_requests();
    void send(verbenalever::monotonic_time due_at);
    void on_response(const std::string& queue, verbenalever::monotonic_time due_at,
                     const verbenalever::http_result& result);
    /// Arm the timer for the next request; stop the loop if all requests were sent and answered.
    void arm_timer_or_stop();
    const std::string& pick_queue();

    session& current_session;
    std::mt19937_64 random;
    std::vector<std::string> entries;
    std::vector<std::string> keys;
    std::vector<weighted_queue> queue_mix;
    std::map<std::string, queue_statistics> statistics_by_queue;
    std::uint64_t sent = 0;
    std::uint64_t outstanding = 0;
    verbenalever::monotonic_time next_due;
    verbenalever::monotonic_time sending_end;
    std::string run_id; ///< random part of the Request-Id header
    int timer_descriptor;
    verbenalever::io_watcher timer_watcher;
};

} // namespace tool
