#pragma once

#include "scheduling/queued_work.h"

#include <functional>
#include <optional>
#include <vector>

namespace verbenalever {

/// Holds waiting work and decides what goes next. Pure: time comes in as an argument.
class queue_policy {
public:
    /// Says whether a piece of work could start now.
    using start_filter = std::function<bool(const queued_work&)>;

    virtual ~queue_policy() = default;

    virtual void push(queued_work work) = 0;

    /// Take out the piece of work that goes next.
    /// @param can_start asked in order of precedence until it accepts one
    [[nodiscard]] virtual std::optional<queued_work> next(const start_filter& can_start,
                                                          monotonic_time now) = 0;

    /// Take out one piece of work, e.g. because it was cancelled.
    /// @return whether it was waiting
    virtual bool remove(std::uint64_t id) = 0;

    /// Take out everything whose deadline has passed.
    [[nodiscard]] virtual std::vector<queued_work> expire(monotonic_time now) = 0;

    [[nodiscard]] virtual std::size_t size() const = 0;
};

} // namespace verbenalever
