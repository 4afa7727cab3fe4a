#include "scheduling/gang_planner.h"

#include "scheduling/task_count.h"

#include <algorithm>

namespace verbenalever {

namespace {

/// Targets that hold some tasks, most first, equal ones by name.
std::vector<gang_place> most_first(std::span<const gang_room> rooms, const resources& demand,
                                   std::int64_t tasks)
{
    std::vector<gang_place> places;
    for (const auto& room : rooms) {
        if (const auto count = task_count(room.free, demand, tasks); count > 0)
            places.push_back({.target = room.target, .holder = room.holder, .tasks = count});
    }
    std::ranges::sort(places, [](const gang_place& a, const gang_place& b) {
        return a.tasks != b.tasks ? a.tasks > b.tasks : a.target < b.target;
    });
    return places;
}

} // namespace

std::optional<std::vector<gang_place>> plan_gang(std::span<const gang_room> rooms,
                                                 const resources& demand, std::int64_t tasks)
{
    auto open = most_first(rooms, demand, tasks);
    std::vector<gang_place> plan;
    auto left = tasks;
    for (auto place = open.begin(); place != open.end() && left > 0; ++place) {
        if (place->tasks >= left) {
            // The last in this order that holds what is left is the tightest.
            while (std::next(place) != open.end() && std::next(place)->tasks >= left)
                ++place;
            place->tasks = left;
        }
        left -= place->tasks;
        plan.push_back(*place);
    }
    if (left > 0)
        return std::nullopt;
    std::ranges::sort(plan, {}, &gang_place::target);
    return plan;
}

} // namespace verbenalever
