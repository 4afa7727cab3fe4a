#pragma once

#include "http/http_result.h"
#include "requests/attempt_result.h"
#include "scheduling/placement_policy_table.h"
#include "targets/target_health.h"

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace verbenalever {

class counters;
class event_log;
class target_client;
class target_registry;
struct operator_configuration;
struct request_work;

/// Places requests on this entry daemon's own targets, sends them, and reports the result of each
/// attempt.
class target_sender {
public:
    using done_callback = std::function<void(attempt_result)>;
    using target_set = std::set<std::string, std::less<>>;

    target_sender(target_registry& registry, target_client& client, counters& metrics,
                  const event_log& log);
    ~target_sender();
    target_sender(const target_sender&) = delete;
    target_sender& operator=(const target_sender&) = delete;

    /// Update the placement policies of the queues.
    void configure(const operator_configuration& configuration);

    /// Reserve capacity for @p work on a target that is not in @p avoided.
    /// @return the target's name; nothing when there is none with free capacity
    [[nodiscard]] std::optional<std::string> place(const request_work& work,
                                                   const target_set& avoided);

    /// Send to a target on which place() reserved capacity; the capacity is released once the
    /// attempt has certainly ended there.
    /// @param done called once, never from within send()
    void send(const request_work& work, const std::string& target, microseconds timeout,
              done_callback done);

    /// @return the result of the attempt, from the result of the HTTP call
    [[nodiscard]] static attempt_result classify(const request_work& work, http_result result);

private:
    void handle_attempt_end(const request_work& work, const std::string& target,
                            monotonic_time sent, const attempt_result& result);

    target_registry& registry;
    target_client& client;
    counters& metrics;
    const event_log& log;
    placement_policy_table placements;
    target_health health;
    const target_set* avoided = nullptr; ///< set while place() runs
};

} // namespace verbenalever
