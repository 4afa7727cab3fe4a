#include "scheduling/fifo_queue.h"

namespace verbenalever {

void fifo_queue::push(queued_work work)
{
    this->store.add(this->all, std::move(work));
}

std::optional<queued_work> fifo_queue::pop_next(const start_filter& can_start, monotonic_time now)
{
    this->set_aside_overdue(now);
    if (this->all.waiting.empty() || !can_start(this->all.waiting.front().work).accepted())
        return std::nullopt;
    return this->store.take_first(this->all);
}

bool fifo_queue::remove(std::uint64_t id)
{
    return this->store.erase(id);
}

std::vector<queued_work> fifo_queue::pop_expired(monotonic_time now)
{
    this->set_aside_overdue(now);
    return this->store.take_aside();
}

std::vector<queued_work> fifo_queue::pop_all()
{
    auto taken = this->store.take_aside();
    while (!this->all.waiting.empty())
        taken.push_back(this->store.take_first(this->all));
    return taken;
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

void fifo_queue::set_aside_overdue(monotonic_time now)
{
    while (const auto id = this->store.overdue(now))
        this->store.set_aside(*id);
}

} // namespace verbenalever
