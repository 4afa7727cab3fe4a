#include "scheduling/work_store.h"

#include "scheduling/scheduling_flow.h"

#include <algorithm>
#include <functional>

namespace verbenalever {

namespace {

/// The deadline heap may exceed twice the number of waiting works by this many entries before stale
/// ones are dropped, so that small queues never need to.
constexpr std::size_t stale_deadline_allowance = 64;

} // namespace

void work_store::add(scheduling_flow& flow, queued_work work)
{
    const auto id = work.id;
    this->add_deadline({.deadline = work.deadline, .id = id});
    ++this->length_by_queue[work.queue];
    flow.waiting.push_back({.work = std::move(work), .sequence = ++this->last_sequence});
    this->locations[id] = {.flow = &flow, .position = std::prev(flow.waiting.end())};
}

queued_work work_store::extract(const location& where)
{
    auto& source = where.flow != nullptr ? where.flow->waiting : this->expired;
    auto work = std::move(where.position->work);
    source.erase(where.position);
    this->locations.erase(work.id);
    if (const auto length = this->length_by_queue.find(work.queue); --length->second == 0)
        this->length_by_queue.erase(length);
    return work;
}

queued_work work_store::pop_first(scheduling_flow& flow)
{
    return this->extract({.flow = &flow, .position = flow.waiting.begin()});
}

scheduling_flow* work_store::flow_of(std::uint64_t id) const
{
    const auto found = this->locations.find(id);
    return found == this->locations.end() ? nullptr : found->second.flow;
}

bool work_store::erase(std::uint64_t id)
{
    const auto found = this->locations.find(id);
    if (found == this->locations.end())
        return false;
    static_cast<void>(this->extract(location(found->second)));
    return true;
}

std::optional<std::uint64_t> work_store::first_expired(monotonic_time now)
{
    while (!this->deadlines.empty() && this->deadlines.front().deadline <= now) {
        const auto id = this->deadlines.front().id;
        if (this->flow_of(id) != nullptr)
            return id;
        std::ranges::pop_heap(this->deadlines, std::greater<>());
        this->deadlines.pop_back();
    }
    return std::nullopt;
}

void work_store::mark_expired(std::uint64_t id)
{
    auto& where = this->locations.at(id);
    this->expired.splice(this->expired.end(), where.flow->waiting, where.position);
    where.flow = nullptr;
}

std::vector<queued_work> work_store::pop_expired()
{
    std::vector<queued_work> popped;
    while (!this->expired.empty())
        popped.push_back(this->extract({.flow = nullptr, .position = this->expired.begin()}));
    return popped;
}

std::size_t work_store::size() const
{
    return this->locations.size();
}

std::size_t work_store::size_of(std::string_view queue) const
{
    const auto found = this->length_by_queue.find(queue);
    return found == this->length_by_queue.end() ? 0 : found->second;
}

void work_store::add_deadline(deadline_entry item)
{
    if (this->deadlines.size() > 2 * this->locations.size() + stale_deadline_allowance)
        this->drop_stale_deadlines();
    this->deadlines.push_back(item);
    std::ranges::push_heap(this->deadlines, std::greater<>());
}

void work_store::drop_stale_deadlines()
{
    std::erase_if(this->deadlines, [this](const deadline_entry& item) {
        return !this->locations.contains(item.id);
    });
    std::ranges::make_heap(this->deadlines, std::greater<>());
}

} // namespace verbenalever
