#include "coordinator/free_capacity_index.h"

#include "coordinator/fleet_target.h"

#include <utility>

namespace verbenalever {

void free_capacity_index::update(fleet_target& target)
{
    const auto unused = target.unused_resources().processors_milli;
    if (unused == target.indexed_processors_milli)
        return;
    this->remove(target);
    if (unused <= 0)
        return;
    this->ordered.insert({unused, target.registration_id, &target});
    target.indexed_processors_milli = unused;
}

void free_capacity_index::remove(fleet_target& target)
{
    if (const auto indexed = std::exchange(target.indexed_processors_milli, 0); indexed > 0)
        this->ordered.erase({indexed, target.registration_id, &target});
}

} // namespace verbenalever
