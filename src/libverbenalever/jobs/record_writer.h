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

/// The one loop of an entry that writes job records, within the entry's part of the store's budget.
///
/// A write whose reply is lost is read back: each text names its writer and a sequence number, so
/// an equal text is this very write. Until that is known, the write is neither done nor refused.
class record_writer {
public:
    /// One write to come.
    struct write_request {
        std::string key;
        std::int64_t expected_revision = 0; ///< revision to replace; zero: the key must be absent
        std::function<std::string()> make_text; ///< asked for at the write's turn; empty: drop it
        std::function<void(absl::StatusOr<std::int64_t>)> done; ///< new revision, or ABORTED
    };

    record_writer(event_loop& loop, kv_client& store, counters& metrics);
    ~record_writer();
    record_writer(const record_writer&) = delete;
    record_writer& operator=(const record_writer&) = delete;

    /// Add a write. It is tried until the store says that it took effect or that it lost.
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
