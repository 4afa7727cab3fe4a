#pragma once

#include "testing/coordinating_process.h"
#include "testing/fake_store.h"
#include "testing/fake_targets.h"

#include "loop/event_loop.h"
#include "loop/lag_meter.h"
#include "timeline/event_log.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace verbenalever {

/// A coordinator of a fleet in memory, with queues whose steps need advice, under submissions in
/// real time. For tests.
class loaded_fleet {
public:
    /// Submissions to one queue.
    struct caller_class {
        std::string queue;
        double rate_per_second = 0;
        std::uint32_t width = 1; ///< tasks of the only step
        std::int64_t need_milli = 0;
        bool gang = false;
        double grant_rate = 0; ///< fraction of the targets that the advisor allows
    };
    struct size {
        int targets = 0;
        std::int64_t processors_milli = 0; ///< of each target
        int advisor_vms = 0;
    };

    /// Adds the targets and runs the loop until the coordinator is elected.
    explicit loaded_fleet(const size& fleet_size);

    /// Submits workflows at @p factor times the rates of @p classes for @p span.
    void load(const std::vector<caller_class>& classes, double factor, milliseconds span);

    void run_for(milliseconds span);

    /// @return processor time that this process has used
    [[nodiscard]] static milliseconds processor_time();

    event_loop loop;
    fake_store store{this->loop};
    fake_targets targets{this->loop};
    event_log log{"test"};
    std::shared_ptr<fleet_configuration> configuration;
    std::map<call_outcome, int> outcomes;
    std::unique_ptr<coordinating_process> process;
    lag_meter lag{this->loop};
    std::vector<milliseconds> lag_samples; ///< sampled while load() runs
    int submitted = 0;

private:
    void add_advisors(coordinator& active_coordinator, int vms);
    void advise(const advice_question& question, advice_dispatcher::answer_callback done);
    void submit(const caller_class& from);

    std::map<std::string, double> grant_rate; ///< by queue
    std::deque<std::unique_ptr<timer>> answers;
};

} // namespace verbenalever
