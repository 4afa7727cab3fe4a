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

flow_queue::rules_by_queue rules_of(const operator_configuration& configuration)
{
    flow_queue::rules_by_queue rules;
    for (const auto& [name, queue] : configuration.queues)
        rules.emplace(name, queue_rules{.urgent = queue.work_class == "urgent",
                                        .priority = queue.priority,
                                        .aging = queue.aging});
    return rules;
}

using placement_maker = std::unique_ptr<placement_policy> (*)();

template <typename Policy>
std::unique_ptr<placement_policy> make_plain()
{
    return std::make_unique<Policy>();
}

template <typename Policy>
std::unique_ptr<placement_policy> make_seeded()
{
    return std::make_unique<Policy>(std::random_device()());
}

constexpr std::array<std::pair<std::string_view, placement_maker>, 6> placement_makers{{
    {"least_loaded", make_plain<least_loaded_placement>},
    {"best_fit", make_plain<best_fit_placement>},
    {"spread", make_plain<spread_placement>},
    {"first_fit", make_plain<first_fit_placement>},
    {"two_choices", make_seeded<two_choices_placement>},
    {"random_fit", make_seeded<random_fit_placement>},
}};

constexpr std::array<std::pair<std::string_view, std::string_view>, 3> placement_of_class{{
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
        return std::make_unique<strict_queue>(rules_of(configuration));
    return std::make_unique<share_queue>(rules_of(configuration), ledger);
}

std::unique_ptr<queue_policy> replace_queue_policy(queue_policy& present,
                                                   const operator_configuration& configuration,
                                                   share_ledger& ledger)
{
    auto made = make_queue_policy(configuration, ledger);
    for (auto& work : present.pop_all())
        made->push(std::move(work));
    return made;
}

std::string_view placement_name(const queue_configuration& queue)
{
    if (!queue.placement.empty())
        return queue.placement;
    for (const auto& [work_class, placement] : placement_of_class) {
        if (work_class == queue.work_class)
            return placement;
    }
    return placement_makers.front().first;
}

std::unique_ptr<placement_policy>
make_placement_policy(std::string_view name, std::shared_ptr<const target_slowness_tracker> rates)
{
    if (name == "expected_finish" && rates != nullptr)
        return std::make_unique<expected_finish_placement>(std::move(rates),
                                                           std::random_device()());
    for (const auto& [known, make] : placement_makers) {
        if (known == name)
            return make();
    }
    return make_plain<least_loaded_placement>();
}

void apply_shares(const operator_configuration& configuration, share_ledger& ledger)
{
    share_ledger::weights_by_team weights;
    for (const auto& [name, team] : configuration.teams)
        weights.emplace(name, team.share);
    ledger.set_weights(weights);
}

} // namespace verbenalever
