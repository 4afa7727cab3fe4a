#include "scheduling/fifo_queue.h"

namespace verbenalever {

void fifo_queue::push(queued_work work)
{
    this->store.add(this->flow, std::move(work));
}

std::optional<queued_work> fifo_queue::pop_next(const start_filter& can_start, monotonic_time now)
{
    this->mark_expired_work(now);
    if (this->flow.waiting.empty() || !can_start(this->flow.waiting.front().work).accepted())
        return std::nullopt;
    return this->store.pop_first(this->flow);
}

bool fifo_queue::remove(std::uint64_t id)
{
    return this->store.erase(id);
}

std::vector<queued_work> fifo_queue::pop_expired(monotonic_time now)
{
    this->mark_expired_work(now);
    return this->store.pop_expired();
}

std::vector<queued_work> fifo_queue::pop_all()
{
    auto popped = this->store.pop_expired();
    while (!this->flow.waiting.empty())
        popped.push_back(this->store.pop_first(this->flow));
    return popped;
}

void fifo_queue::work_ended(std::uint64_t) {}

std::size_t fifo_queue::size() const
{
    return this->store.size();
}

std::size_t fifo_queue::size_of(std::string_view queue) const
{
    return this->store.size_of(queue);
}

void fifo_queue::mark_expired_work(monotonic_time now)
{
    while (const auto id = this->store.first_expired(now))
        this->store.mark_expired(*id);
}

} // namespace verbenalever
