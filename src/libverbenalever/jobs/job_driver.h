#pragma once

#include "jobs/job_record.h"
#include "loop/timer.h"
#include "targets/target_inventory.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace verbenalever {

class event_log;
class kv_client;
class placement_policy;
class target_client;
class target_registry;

/// Drives one job: writes "placed" before each start, watches the targets, writes "done" before a
/// target may forget the result. One write of the record is in flight at a time.
class job_driver {
public:
    job_driver(event_loop& loop, kv_client& store, target_registry& registry, target_client& client,
               placement_policy& placement, const event_log& log, job_record record,
               std::int64_t revision);

    [[nodiscard]] const job_record& record() const;

    /// Be told once, when the finished record is kept.
    void on_finished(std::function<void()> action);

private:
    void step();
    void place_pending();
    void start_placed(const std::vector<std::size_t>& placed);
    void start(std::size_t index);
    void poll();
    void take_inventory(const std::string& target, const target_inventory& inventory);
    void keep(std::function<void()> kept);
    [[nodiscard]] std::string task_id(std::size_t index) const;

    kv_client& store;
    target_registry& registry;
    target_client& client;
    placement_policy& placement;
    const event_log& log;
    job_record job;
    std::int64_t revision;
    bool writing = false;
    std::function<void()> finished;
    timer step_timer;
};

} // namespace verbenalever
