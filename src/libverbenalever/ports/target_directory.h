#pragma once

#include "ports/target_report.h"

#include <functional>
#include <vector>

namespace verbenalever {

/// The platform's list of live and leaving targets.
class target_directory {
public:
    using listener = std::function<void(const std::vector<target_report>&)>;

    virtual ~target_directory() = default;

    /// Tell @p changed the whole list now and after each change that matters.
    virtual void start(listener changed) = 0;

    /// Stop reading the list.
    virtual void stop() = 0;

    /// @return whether the list was read recently enough to believe that an absent target is gone
    [[nodiscard]] virtual bool is_current() const = 0;
};

} // namespace verbenalever
