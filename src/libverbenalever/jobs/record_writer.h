#pragma once

#include "loop/timer.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace verbenalever {

class counters;
class kv_client;

/// Writes the job records of an entry daemon, at a rate within the entry daemon's share of the
/// store's call budget.
///
/// After a write that failed or got no response the key is read back. Each text contains its writer
/// and a sequence number, so an equal text shows that the write took effect. The write's callback
/// is called only once its outcome is known.
class record_writer {
public:
    /// One requested write.
    struct write_request {
        std::string key;
        std::int64_t expected_revision = 0; ///< revision to replace; zero: the key must be absent
        /// Called just before the write; an empty text cancels the write.
        std::function<std::string()> make_text;
        /// Called with the new revision, or ABORTED when another process has written the key; not
        /// called when the write was cancelled.
        std::function<void(absl::StatusOr<std::int64_t>)> done;
    };

    record_writer(event_loop& loop, kv_client& store, counters& metrics);
    ~record_writer();
    record_writer(const record_writer&) = delete;
    record_writer& operator=(const record_writer&) = delete;

    /// Queue a write. It is retried until it took effect or another process has written the key.
    void add(write_request next);

private:
    struct pending_write {
        write_request request;
        std::string text;
    };
    using pending_write_ptr = std::shared_ptr<pending_write>;

    void tick();
    void send_write(const pending_write_ptr& current);
    void read_back(const pending_write_ptr& current);
    void retry_later(std::function<void()> action);

    kv_client& store;
    counters& metrics;
    std::deque<write_request> queue;
    std::deque<std::pair<monotonic_time, std::function<void()>>> retries;
    std::size_t in_flight = 0;
    std::shared_ptr<int> alive = std::make_shared<int>(0);
    timer write_timer;
};

} // namespace verbenalever
