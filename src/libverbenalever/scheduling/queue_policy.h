#pragma once

#include "scheduling/queued_work.h"
#include "scheduling/start_verdict.h"

#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace verbenalever {

/// Holds waiting work and decides which starts next. Reads no clock: the caller passes the time.
class queue_policy {
public:
    /// Decides whether a piece of work could start now.
    using start_filter = std::function<start_verdict(const queued_work&)>;

    virtual ~queue_policy() = default;

    virtual void push(queued_work work) = 0;

    /// Remove and return the next piece of work to start; never one whose deadline has passed.
    /// @param can_start called in the policy's order until it accepts a piece of work
    /// @return nothing when no work was accepted
    [[nodiscard]] virtual std::optional<queued_work> pop_next(const start_filter& can_start,
                                                              monotonic_time now) = 0;

    /// Remove one piece of work, e.g. because it was cancelled.
    /// @return whether it was waiting
    virtual bool remove(std::uint64_t id) = 0;

    /// Remove and return all work whose deadline has passed.
    [[nodiscard]] virtual std::vector<queued_work> pop_expired(monotonic_time now) = 0;

    /// Remove and return all work, e.g. to move it to another policy: expired work first, then the
    /// rest in order of arrival.
    [[nodiscard]] virtual std::vector<queued_work> pop_all() = 0;

    /// Record that work returned by pop_next() no longer runs; other ids are ignored.
    virtual void work_ended(std::uint64_t id) = 0;

    [[nodiscard]] virtual std::size_t size() const = 0;

    /// @return the number of pieces of work that wait in one queue
    [[nodiscard]] virtual std::size_t size_of(std::string_view queue) const = 0;
};

} // namespace verbenalever
