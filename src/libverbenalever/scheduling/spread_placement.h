#pragma once

#include "scheduling/placement_policy.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace verbenalever {

/// Spreads the work of one service over racks: chooses the rack on which the least of it runs, and
/// there the candidate with the most free capacity.
///
/// Each service needs an object of its own, which counts that service's work by rack.
class spread_placement final : public placement_policy {
public:
    [[nodiscard]] std::optional<std::size_t>
    choose(const placement_index& index, const resources& demand, candidate_filter admits) override;

    /// Count work of the service that runs on a rack. choose() does so itself; called for work that
    /// was found running, e.g. after the process that manages the service was replaced.
    void work_started(std::string_view rack);

    /// Subtract work of the service that no longer runs on a rack.
    void work_ended(std::string_view rack);

private:
    [[nodiscard]] std::size_t work_on_rack(std::string_view rack) const;

    std::map<std::string, std::size_t, std::less<>> work_by_rack; ///< number of pieces of work
};

} // namespace verbenalever
