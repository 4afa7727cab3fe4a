#pragma once

#include "scheduling/queue_policy.h"
#include "scheduling/scheduling_flow.h"
#include "scheduling/work_store.h"

namespace verbenalever {

/// First come, first served: the baseline that other policies are compared with.
///
/// Work that cannot start blocks all work that arrived after it.
class fifo_queue final : public queue_policy {
public:
    void push(queued_work work) override;
    [[nodiscard]] std::optional<queued_work> pop_next(const start_filter& can_start,
                                                      monotonic_time now) override;
    bool remove(std::uint64_t id) override;
    [[nodiscard]] std::vector<queued_work> pop_expired(monotonic_time now) override;
    [[nodiscard]] std::vector<queued_work> pop_all() override;
    void work_ended(std::uint64_t id) override;
    [[nodiscard]] std::size_t size() const override;
    [[nodiscard]] std::size_t size_of(std::string_view queue) const override;

private:
    void mark_expired_work(monotonic_time now);

    scheduling_flow flow; ///< all waiting work, of any queue, team and demand
    work_store store;
};

} // namespace verbenalever
