#pragma once

#include "loop/clock.h"
#include "scheduling/resources.h"

#include <map>
#include <string>
#include <string_view>

namespace verbenalever {

/// Room that gangs have reserved on targets for a later start. Until then it may be used only by
/// work whose declared bound ends before that start.
class gang_reservations {
public:
    /// Reserve @p room on one target; replaces what the gang had there.
    void reserve(std::string_view gang, std::string_view target, const resources& amounts,
                 monotonic_time start);

    /// Give up all that a gang has reserved, e.g. because one target refused or all have started.
    void release(std::string_view gang);

    /// @param free what nothing runs on now
    /// @param ends the latest end of the work by its declared bound; monotonic_time::max() without
    /// @return whether the work may start: what stays free holds every gang that start before it
    ///         has ended
    [[nodiscard]] bool admits(std::string_view target, const resources& free,
                              const resources& demand, monotonic_time latest_end) const;

    /// @return whether nothing is reserved
    [[nodiscard]] bool empty() const;

private:
    struct reservation {
        resources amounts;
        monotonic_time start;
    };
    using by_gang = std::map<std::string, reservation, std::less<>>;

    std::map<std::string, by_gang, std::less<>> reservations_by_target;
};

} // namespace verbenalever
