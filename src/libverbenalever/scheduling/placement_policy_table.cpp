#include "scheduling/placement_policy_table.h"

#include "configuration/operator_configuration.h"
#include "scheduling/placement_policy.h"
#include "scheduling/policy_factory.h"
#include "scheduling/target_slowness_tracker.h"

namespace verbenalever {

placement_policy_table::placement_policy_table()
    : measured(std::make_shared<target_slowness_tracker>()),
      otherwise(make_placement_policy("least_loaded"))
{
}

placement_policy_table::~placement_policy_table() = default;

void placement_policy_table::configure(const operator_configuration& configuration)
{
    std::erase_if(this->by_queue, [&configuration](const auto& known) {
        return !configuration.queues.contains(known.first);
    });
    for (const auto& [name, queue] : configuration.queues) {
        const auto policy = placement_name(queue);
        auto& known = this->by_queue[name];
        if (known.policy != nullptr && known.name == policy)
            continue;
        known.name = policy;
        known.policy = make_placement_policy(policy, this->measured);
    }
}

target_slowness_tracker& placement_policy_table::slowness_tracker()
{
    return *this->measured;
}

placement_policy& placement_policy_table::policy_for(std::string_view queue) const
{
    const auto known = this->by_queue.find(queue);
    return known == this->by_queue.end() ? *this->otherwise : *known->second.policy;
}

} // namespace verbenalever
