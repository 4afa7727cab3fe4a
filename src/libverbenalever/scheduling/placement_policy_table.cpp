#include "scheduling/placement_policy_table.h"

#include "configuration/operator_configuration.h"
#include "scheduling/placement_policy.h"
#include "scheduling/policy_factory.h"
#include "scheduling/target_slowness_tracker.h"

namespace verbenalever {

placement_policy_table::placement_policy_table()
    : slowness(std::make_shared<target_slowness_tracker>()),
      fallback(make_placement_policy("least_loaded"))
{
}

placement_policy_table::~placement_policy_table() = default;

void placement_policy_table::configure(const operator_configuration& configuration)
{
    std::erase_if(this->by_queue, [&configuration](const auto& item) {
        return !configuration.queues.contains(item.first);
    });
    for (const auto& [name, queue] : configuration.queues) {
        const auto policy = placement_policy_name(queue);
        auto& existing = this->by_queue[name];
        if (existing.policy != nullptr && existing.name == policy)
            continue;
        existing.name = policy;
        existing.policy = make_placement_policy(policy, this->slowness);
    }
}

target_slowness_tracker& placement_policy_table::slowness_tracker()
{
    return *this->slowness;
}

placement_policy& placement_policy_table::policy_for(std::string_view queue) const
{
    const auto found = this->by_queue.find(queue);
    return found == this->by_queue.end() ? *this->fallback : *found->second.policy;
}

} // namespace verbenalever
