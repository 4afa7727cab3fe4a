#pragma once

#include "scheduling/queued_work.h"
#include "scheduling/start_verdict.h"

#include <functional>
#include <optional>
#include <string_view>
#include <vector>

namespace verbenalever {

/// Holds waiting work and decides what goes next. Pure: time comes in as an argument.
class queue_policy {
public:
    /// Says whether a piece of work could start now.
    using start_filter = std::function<start_verdict(const queued_work&)>;

    virtual ~queue_policy() = default;

    virtual void push(queued_work work) = 0;

    /// Take out the piece of work that goes next; never one whose deadline has passed.
    /// @param can_start asked in order of precedence until it accepts one
    [[nodiscard]] virtual std::optional<queued_work> pop_next(const start_filter& can_start,
                                                              monotonic_time now) = 0;

    /// Take out one piece of work, e.g. because it was cancelled.
    /// @return whether it was waiting
    virtual bool remove(std::uint64_t id) = 0;

    /// Take out everything whose deadline has passed.
    [[nodiscard]] virtual std::vector<queued_work> pop_expired(monotonic_time now) = 0;

    /// Take out everything in order of arrival, e.g. to move it to another policy.
    [[nodiscard]] virtual std::vector<queued_work> pop_all() = 0;

    /// Note that work which next() gave out no longer runs; other ids are let be.
    virtual void work_ended(std::uint64_t id) = 0;

    [[nodiscard]] virtual std::size_t size() const = 0;

    /// @return how much waits in one queue
    [[nodiscard]] virtual std::size_t size_of(std::string_view queue) const = 0;
};

} // namespace verbenalever
