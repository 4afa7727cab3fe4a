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

/// Sends requests at Poisson arrival times, whether or not earlier ones were answered, and counts
/// each latency from the time at which the request was due. A timer descriptor gives the arrival
/// times, since the loop's own timers have a grain of a millisecond.
class load_generator {
public:
    /// Take everything from the flags of the load verb.
    explicit load_generator(session& current_session);
    ~load_generator();
    load_generator(const load_generator&) = delete;
    load_generator& operator=(const load_generator&) = delete;

    /// Send for the duration asked for, then wait for what is outstanding.
    void run();

    /// Print the result as a table, JSON or CSV.
    void print_report() const;

    [[nodiscard]] std::int64_t answered() const;

private:
    /// The figures of one queue.
    struct queue_statistics {
        std::int64_t sent = 0;
        std::int64_t answered = 0;
        std::int64_t not_run = 0;
        std::int64_t unknown = 0;
        verbenalever::latency_histogram latency;
    };

    /// One queue and its share of the requests.
    struct weighted_queue {
        std::string queue;
        double weight = 1;
    };

    void on_timer();
    void send_due_requests();
    void send(verbenalever::monotonic_time due_at);
    void on_response(const std::string& queue, verbenalever::monotonic_time due_at,
                     const verbenalever::http_result& result);
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
    std::string run_id; ///< part of each request's own id
    int timer_descriptor;
    verbenalever::io_watcher timer_watcher;
};

} // namespace tool
