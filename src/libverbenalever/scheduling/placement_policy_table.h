#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace verbenalever {

class placement_policy;
class target_slowness_tracker;
struct operator_configuration;

/// The placement policy of each queue, according to the configuration.
class placement_policy_table {
public:
    placement_policy_table();
    ~placement_policy_table();
    placement_policy_table(const placement_policy_table&) = delete;
    placement_policy_table& operator=(const placement_policy_table&) = delete;

    /// Apply a configuration. A queue whose policy does not change keeps its policy object.
    void configure(const operator_configuration& configuration);

    /// @return the policy of @p queue; least_loaded when the queue is not configured
    [[nodiscard]] placement_policy& policy_for(std::string_view queue) const;

    /// @return the tracker that the policy expected_finish uses; the caller has to record the
    ///         requests and answers in it
    [[nodiscard]] target_slowness_tracker& slowness_tracker();

private:
    struct entry {
        std::string name;
        std::unique_ptr<placement_policy> policy;
    };

    std::shared_ptr<target_slowness_tracker> slowness;
    std::unique_ptr<placement_policy> fallback;
    std::map<std::string, entry, std::less<>> by_queue;
};

} // namespace verbenalever
