#pragma once

#include "loop/clock.h"
#include "scheduling/resources.h"

#include <map>
#include <string>
#include <string_view>

namespace verbenalever {

/// Capacity that gangs have reserved on targets for a later start. Until that start it may be used
/// only by work that has ended by then according to its declared maximum run time.
class gang_reservations {
public:
    /// Reserve capacity on one target; replaces an earlier reservation of the gang on that target.
    /// @param amounts reserved
    /// @param start time at which the gang's tasks start
    void reserve(std::string_view gang, std::string_view target, const resources& amounts,
                 monotonic_time start);

    /// Remove all reservations of a gang, e.g. because one target refused or all tasks have
    /// started.
    void release(std::string_view gang);

    /// @param free capacity of the target that no running work uses
    /// @param latest_end of the work by its declared maximum run time; monotonic_time::max() when
    ///                   it has none
    /// @return whether the work may start: @p free fits the work together with the reservations of
    ///         all gangs that start before @p latest_end
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
