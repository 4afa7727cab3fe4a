#pragma once

#include "scheduling/aged_work_quota.h"
#include "scheduling/queue_policy.h"
#include "scheduling/queue_rules.h"
#include "scheduling/scheduling_flow.h"
#include "scheduling/work_store.h"

#include <map>
#include <string>
#include <tuple>

namespace verbenalever {

/// Base of the queue policies that store waiting work in flows; derived classes order the flows.
class flow_queue : public queue_policy {
public:
    /// Rules by queue name; a queue that is not contained has the default rules.
    using rules_by_queue = std::map<std::string, queue_rules, std::less<>>;

    explicit flow_queue(rules_by_queue rules);

    void push(queued_work work) final;
    [[nodiscard]] std::optional<queued_work> pop_next(const start_filter& can_start,
                                                      monotonic_time now) final;
    bool remove(std::uint64_t id) final;
    [[nodiscard]] std::vector<queued_work> pop_expired(monotonic_time now) final;
    [[nodiscard]] std::vector<queued_work> pop_all() final;
    void work_ended(std::uint64_t id) final;
    [[nodiscard]] std::size_t size() const final;
    [[nodiscard]] std::size_t size_of(std::string_view queue) const final;

protected:
    /// Insert a flow into the order, by its first piece of work.
    virtual void rank(scheduling_flow& flow) = 0;

    /// Remove a flow from the order.
    virtual void unrank(scheduling_flow& flow) = 0;

    /// @return the flow whose first piece of work is to start now, or null
    [[nodiscard]] virtual scheduling_flow* choose(const start_filter& can_start,
                                                  monotonic_time now) = 0;

    /// Quota for work that starts out of turn after its aging interval. Knows the slots that all
    /// started work holds.
    aged_work_quota aged_quota;

private:
    using flow_key = std::tuple<std::string, std::string, std::int64_t, std::int64_t, std::int64_t,
                                std::int64_t>;

    [[nodiscard]] static flow_key key_of(const std::string& queue, const std::string& team,
                                         const resources& demand);
    [[nodiscard]] scheduling_flow& flow_for(const queued_work& work);
    /// Update the order after the first piece of work of @p flow was removed; erases an empty flow.
    void rerank_or_erase(scheduling_flow& flow);
    void mark_expired_work(monotonic_time now);

    rules_by_queue rules;
    std::map<flow_key, scheduling_flow> flows;
    work_store store;
};

} // namespace verbenalever
