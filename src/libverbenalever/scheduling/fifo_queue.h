#pragma once

#include "scheduling/queue_policy.h"

#include <list>

namespace verbenalever {

/// First come, first served: the baseline that other policies are measured against.
class fifo_queue final : public queue_policy {
public:
    void push(queued_work work) override;
    [[nodiscard]] std::optional<queued_work> next(const start_filter& can_start,
                                                  monotonic_time now) override;
    bool remove(std::uint64_t id) override;
    [[nodiscard]] std::vector<queued_work> expire(monotonic_time now) override;
    [[nodiscard]] std::size_t size() const override;

private:
    std::list<queued_work> waiting;
};

} // namespace verbenalever
