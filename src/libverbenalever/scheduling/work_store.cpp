#include "scheduling/work_store.h"

#include "scheduling/work_flow.h"

#include <algorithm>
#include <functional>

namespace verbenalever {

namespace {

/// Stale entries of the deadline heap that are let be, so that small queues never sweep.
constexpr std::size_t stale_dues_allowed = 64;

} // namespace

void work_store::add(work_flow& flow, queued_work work)
{
    const auto id = work.id;
    this->add_due({.deadline = work.deadline, .id = id});
    ++this->lengths[work.queue];
    flow.waiting.push_back({.work = std::move(work), .sequence = ++this->last_sequence});
    this->places[id] = {.flow = &flow, .position = std::prev(flow.waiting.end())};
}

queued_work work_store::take(const location& place)
{
    auto& list = place.flow != nullptr ? place.flow->waiting : this->aside;
    auto work = std::move(place.position->work);
    list.erase(place.position);
    this->places.erase(work.id);
    if (const auto length = this->lengths.find(work.queue); --length->second == 0)
        this->lengths.erase(length);
    return work;
}

queued_work work_store::take_first(work_flow& flow)
{
    return this->take({.flow = &flow, .position = flow.waiting.begin()});
}

work_flow* work_store::flow_of(std::uint64_t id) const
{
    const auto found = this->places.find(id);
    return found == this->places.end() ? nullptr : found->second.flow;
}

bool work_store::erase(std::uint64_t id)
{
    const auto found = this->places.find(id);
    if (found == this->places.end())
        return false;
    static_cast<void>(this->take(location(found->second)));
    return true;
}

std::optional<std::uint64_t> work_store::overdue(monotonic_time now)
{
    while (!this->dues.empty() && this->dues.front().deadline <= now) {
        const auto id = this->dues.front().id;
        if (this->flow_of(id) != nullptr)
            return id;
        std::ranges::pop_heap(this->dues, std::greater<>());
        this->dues.pop_back();
    }
    return std::nullopt;
}

void work_store::set_aside(std::uint64_t id)
{
    auto& place = this->places.at(id);
    this->aside.splice(this->aside.end(), place.flow->waiting, place.position);
    place.flow = nullptr;
}

std::vector<queued_work> work_store::take_aside()
{
    std::vector<queued_work> taken;
    while (!this->aside.empty())
        taken.push_back(this->take({.flow = nullptr, .position = this->aside.begin()}));
    return taken;
}

std::size_t work_store::size() const
{
    return this->places.size();
}

std::size_t work_store::size_of(std::string_view queue) const
{
    const auto found = this->lengths.find(queue);
    return found == this->lengths.end() ? 0 : found->second;
}

void work_store::add_due(due item)
{
    if (this->dues.size() > 2 * this->places.size() + stale_dues_allowed)
        this->drop_stale_dues();
    this->dues.push_back(item);
    std::ranges::push_heap(this->dues, std::greater<>());
}

void work_store::drop_stale_dues()
{
    std::erase_if(this->dues, [this](const due& item) { return !this->places.contains(item.id); });
    std::ranges::make_heap(this->dues, std::greater<>());
}

} // namespace verbenalever
