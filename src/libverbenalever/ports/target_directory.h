#pragma once

#include "loop/clock.h"
#include "ports/target_report.h"

#include <functional>
#include <vector>

namespace verbenalever {

/// Reads the platform's list of live and leaving targets.
class target_directory {
public:
    using listener = std::function<void(const std::vector<target_report>&)>;

    virtual ~target_directory() = default;

    /// Call @p changed with the whole list now and after each relevant change.
    virtual void start(listener changed) = 0;

    /// Stop reading the list.
    virtual void stop() = 0;

    /// @return whether the list was read recently enough to conclude that a target that is
    ///         not in it no longer exists
    [[nodiscard]] virtual bool is_current() const = 0;

    /// @return time since boot as of which the list that the listener was given last was up to
    ///         date; 0 before the first one
    [[nodiscard]] virtual milliseconds up_to_date_at() const = 0;
};

} // namespace verbenalever
