#include "scheduling/policy_factory.h"

#include "configuration/operator_configuration.h"
#include "scheduling/fifo_queue.h"
#include "scheduling/share_queue.h"
#include "scheduling/strict_queue.h"

namespace verbenalever {

namespace {

flow_queue::rules_by_queue rules_of(const operator_configuration& configuration)
{
    flow_queue::rules_by_queue rules;
    for (const auto& [name, queue] : configuration.queues)
        rules.emplace(name, queue_rules{.urgent = queue.work_class == "urgent",
                                        .priority = queue.priority,
                                        .aging = queue.aging});
    return rules;
}

} // namespace

std::unique_ptr<queue_policy> make_queue_policy(const operator_configuration& configuration,
                                                share_ledger& ledger)
{
    if (configuration.policy == "fifo")
        return std::make_unique<fifo_queue>();
    if (configuration.policy == "strict")
        return std::make_unique<strict_queue>(rules_of(configuration));
    return std::make_unique<share_queue>(rules_of(configuration), ledger);
}

std::unique_ptr<queue_policy> remake_queue_policy(queue_policy& present,
                                                  const operator_configuration& configuration,
                                                  share_ledger& ledger)
{
    auto made = make_queue_policy(configuration, ledger);
    for (auto& work : present.take_all())
        made->push(std::move(work));
    return made;
}

void apply_shares(const operator_configuration& configuration, share_ledger& ledger)
{
    share_ledger::weights_by_team weights;
    for (const auto& [name, team] : configuration.teams)
        weights.emplace(name, team.share);
    ledger.set_weights(weights);
}

} // namespace verbenalever
