// Workflows that go on under the definition of a queue that is changed or removed.

#include "coordinator/coordinator.h"
#include "timeline/event_log.h"

#include <set>

namespace verbenalever {

void coordinator::follow_moved_queues()
{
    std::set<std::string> moved;
    for (auto& [id, owner] : this->workflows) {
        if (is_final(owner->state) || owner->pool == owner->definition->pool)
            continue;
        moved.insert(owner->record.queue);
        this->replace_waiting_work(*owner, {});
        owner->pool = owner->definition->pool;
        for (auto& step : owner->steps)
            step.asked_all_targets = false;
        this->update_waiting_work(*owner);
    }
    for (const auto& queue : moved)
        this->env.log.write("coordinator", "queue_moved",
                            {{"queue", queue}, {"pool", this->definitions.queue(queue)->pool}});
}

} // namespace verbenalever
