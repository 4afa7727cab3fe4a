#include "coordinator/known_definitions.h"

#include "membership/message_codec.h"
#include "ports/fleet_configuration.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace verbenalever {

namespace {

/// Attempts of a queue of which nothing is known, when no other queue is known either.
constexpr int default_attempts = 3;

/// What accepted workflows need of a queue's definition. Fields are added at the end: decoding
/// ignores further ones, and leaves missing ones at their defaults.
struct stored_queue {
    std::string name;
    std::string pool;
    int priority = 0;
    int attempts = 1;
    double stretch = 1;
    std::int64_t latency_objective_ms = 0;
    bool needs_advice = false;
    double advice_base_ms = 0;
    double advice_target_ms = 0;

    MSGPACK_DEFINE(name, pool, priority, attempts, stretch, latency_objective_ms, needs_advice,
                   advice_base_ms, advice_target_ms)
};

struct stored_team {
    std::string name;
    double weight = 1;
    resources limit;

    MSGPACK_DEFINE(name, weight, limit)
};

struct stored_definitions {
    std::vector<stored_queue> queues;
    std::vector<stored_team> teams;

    MSGPACK_DEFINE(queues, teams)
};

stored_queue stored_queue_of(const queue_definition& queue)
{
    return {.name = queue.name,
            .pool = queue.pool,
            .priority = queue.priority,
            .attempts = queue.attempts,
            .stretch = queue.stretch,
            .latency_objective_ms = queue.latency_objective.count(),
            .needs_advice = queue.needs_advice,
            .advice_base_ms = queue.advice_base_ms,
            .advice_target_ms = queue.advice_target_ms};
}

queue_definition definition_of(const stored_queue& stored)
{
    return {.name = stored.name,
            .pool = stored.pool,
            .priority = stored.priority,
            .attempts = stored.attempts,
            .stretch = stored.stretch,
            .latency_objective = milliseconds(stored.latency_objective_ms),
            .needs_advice = stored.needs_advice,
            .advice_base_ms = stored.advice_base_ms,
            .advice_target_ms = stored.advice_target_ms};
}

} // namespace

void known_definitions::apply(const fleet_configuration& configuration)
{
    for (auto& [name, known] : this->queues)
        known.configured = false;
    for (const auto& queue : configuration.queues)
        this->queues.insert_or_assign(queue.name,
                                      known_queue{.definition = queue, .configured = true});
    for (auto& [name, known] : this->teams)
        known.configured = false;
    for (const auto& [name, keys, weight, limit] : configuration.teams)
        this->teams.insert_or_assign(
            name, known_team{.definition = {.name = name, .weight = weight, .limit = limit},
                             .configured = true});
}

absl::Status known_definitions::restore(std::string_view text)
{
    const auto stored = unpack_message<stored_definitions>(text);
    if (!stored.ok())
        return absl::InvalidArgumentError("malformed definitions of queues");
    for (const auto& queue : stored->queues) {
        if (queue.name.empty() || this->queues.contains(queue.name))
            continue;
        this->queues[queue.name].definition = definition_of(queue);
    }
    for (const auto& [name, weight, limit] : stored->teams) {
        if (!name.empty() && !this->teams.contains(name))
            this->teams[name].definition = {.name = name, .weight = weight, .limit = limit};
    }
    return absl::OkStatus();
}

std::string known_definitions::encode() const
{
    stored_definitions stored;
    for (const auto& [name, known] : this->queues) {
        if (!known.assumed)
            stored.queues.push_back(stored_queue_of(known.definition));
    }
    for (const auto& [name, known] : this->teams)
        stored.teams.push_back({name, known.definition.weight, known.definition.limit});
    return pack_message(stored);
}

void known_definitions::forget_removed(
    const std::function<bool(const queue_definition&)>& queue_in_use,
    const std::function<bool(const team_definition&)>& team_in_use)
{
    std::erase_if(this->queues, [&queue_in_use](const auto& entry) {
        return !entry.second.configured && !queue_in_use(entry.second.definition);
    });
    std::erase_if(this->teams, [&team_in_use](const auto& entry) {
        return !entry.second.configured && !team_in_use(entry.second.definition);
    });
}

const team_definition* known_definitions::team(std::string_view name) const
{
    const auto found = this->teams.find(name);
    return found == this->teams.end() ? nullptr : &found->second.definition;
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
