#include "scheduling/fifo_queue.h"

#include <algorithm>

namespace verbenalever {

void fifo_queue::push(queued_work work)
{
    this->waiting.push_back(std::move(work));
}

std::optional<queued_work> fifo_queue::next(const start_filter& can_start, monotonic_time now)
{
    if (this->waiting.empty() || this->waiting.front().deadline <= now ||
        !can_start(this->waiting.front()))
        return std::nullopt;
    auto work = std::move(this->waiting.front());
    this->waiting.pop_front();
    return work;
}

bool fifo_queue::remove(std::uint64_t id)
{
    return std::erase_if(this->waiting, [id](const queued_work& work) { return work.id == id; }) >
           0;
}

std::vector<queued_work> fifo_queue::expire(monotonic_time now)
{
    std::vector<queued_work> expired;
    std::erase_if(this->waiting, [now, &expired](queued_work& work) {
        const bool late = work.deadline <= now;
        if (late)
            expired.push_back(std::move(work));
        return late;
    });
    return expired;
}

std::size_t fifo_queue::size() const
{
    return this->waiting.size();
}

} // namespace verbenalever
