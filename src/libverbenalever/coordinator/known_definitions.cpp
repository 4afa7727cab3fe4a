#include "coordinator/known_definitions.h"

#include "ports/fleet_configuration.h"

#include <algorithm>

namespace verbenalever {

namespace {

/// Attempts of a queue of which nothing is known, when no other queue is known either.
constexpr int default_attempts = 3;

} // namespace

void known_definitions::apply(const fleet_configuration& configuration)
{
    for (const auto& queue : configuration.queues)
        this->queues.insert_or_assign(queue.name, known_queue{.definition = queue});
}

const queue_definition* known_definitions::queue(std::string_view name) const
{
    const auto found = this->queues.find(name);
    return found == this->queues.end() ? nullptr : &found->second.definition;
}

const queue_definition& known_definitions::queue_or_assumed(std::string_view name,
                                                            std::string_view pool)
{
    if (const auto* known = this->queue(name))
        return *known;
    queue_definition assumed{
        .name = std::string(name), .pool = std::string(pool), .attempts = default_attempts};
    for (const auto& [other, known] : this->queues) {
        assumed.priority = std::max(assumed.priority, known.definition.priority);
        assumed.attempts = std::max(assumed.attempts, known.definition.attempts);
    }
    auto& added = this->queues[assumed.name];
    added = {.definition = std::move(assumed), .assumed = true};
    return added.definition;
}

void known_definitions::require_advice(std::string_view queue)
{
    const auto found = this->queues.find(queue);
    if (found != this->queues.end() && found->second.assumed)
        found->second.definition.needs_advice = true;
}

} // namespace verbenalever
