#include "scheduling/policy_factory.h"

#include "configuration/operator_configuration.h"
#include "scheduling/best_fit_placement.h"
#include "scheduling/expected_finish_placement.h"
#include "scheduling/fifo_queue.h"
#include "scheduling/first_fit_placement.h"
#include "scheduling/least_loaded_placement.h"
#include "scheduling/random_fit_placement.h"
#include "scheduling/share_queue.h"
#include "scheduling/spread_placement.h"
#include "scheduling/strict_queue.h"
#include "scheduling/two_choices_placement.h"

#include <array>
#include <random>

namespace verbenalever {

namespace {

flow_queue::rules_by_queue rules_from(const operator_configuration& configuration)
{
    flow_queue::rules_by_queue rules;
    for (const auto& [name, queue] : configuration.queues)
        rules.emplace(name, queue_rules{.urgent = queue.work_class == "urgent",
                                        .priority = queue.priority,
                                        .aging_interval = queue.aging});
    return rules;
}

using placement_factory = std::unique_ptr<placement_policy> (*)();

template <typename Policy>
std::unique_ptr<placement_policy> make_unseeded()
{
    return std::make_unique<Policy>();
}

template <typename Policy>
std::unique_ptr<placement_policy> make_seeded()
{
    return std::make_unique<Policy>(std::random_device()());
}

constexpr std::array<std::pair<std::string_view, placement_factory>, 6> placement_factories{{
    {"least_loaded", make_unseeded<least_loaded_placement>},
    {"best_fit", make_unseeded<best_fit_placement>},
    {"spread", make_unseeded<spread_placement>},
    {"first_fit", make_unseeded<first_fit_placement>},
    {"two_choices", make_seeded<two_choices_placement>},
    {"random_fit", make_seeded<random_fit_placement>},
}};

constexpr std::array<std::pair<std::string_view, std::string_view>, 3> default_placement_by_class{{
    {"urgent", "least_loaded"},
    {"batch", "best_fit"},
    {"service", "spread"},
}};

} // namespace

std::unique_ptr<queue_policy> make_queue_policy(const operator_configuration& configuration,
                                                share_ledger& ledger)
{
    if (configuration.policy == "fifo")
        return std::make_unique<fifo_queue>();
    if (configuration.policy == "strict")
        return std::make_unique<strict_queue>(rules_from(configuration));
    return std::make_unique<share_queue>(rules_from(configuration), ledger);
}

std::unique_ptr<queue_policy> replace_queue_policy(queue_policy& current,
                                                   const operator_configuration& configuration,
                                                   share_ledger& ledger)
{
    auto replacement = make_queue_policy(configuration, ledger);
    for (auto& work : current.pop_all())
        replacement->push(std::move(work));
    return replacement;
}

std::string_view placement_policy_name(const queue_configuration& queue)
{
    if (!queue.placement.empty())
        return queue.placement;
    for (const auto& [work_class, placement] : default_placement_by_class) {
        if (work_class == queue.work_class)
            return placement;
    }
    return placement_factories.front().first;
}

std::unique_ptr<placement_policy>
make_placement_policy(std::string_view name,
                      std::shared_ptr<const target_slowness_tracker> slowness_tracker)
{
    if (name == "expected_finish" && slowness_tracker != nullptr)
        return std::make_unique<expected_finish_placement>(std::move(slowness_tracker),
                                                           std::random_device()());
    for (const auto& [policy_name, make] : placement_factories) {
        if (policy_name == name)
            return make();
    }
    return make_unseeded<least_loaded_placement>();
}

void apply_shares(const operator_configuration& configuration, share_ledger& ledger)
{
    share_ledger::weights_by_team weights;
    for (const auto& [name, team] : configuration.teams)
        weights.emplace(name, team.share);
    ledger.set_weights(weights);
}

} // namespace verbenalever
