#pragma once

#include "scheduling/placement_policy.h"

#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace verbenalever {

/// Spreads the work of one service over racks: the rack that holds least of it, and there the
/// candidate with the most free room.
///
/// One object serves one service, since it remembers where that service's work went.
class spread_placement final : public placement_policy {
public:
    [[nodiscard]] std::optional<std::size_t>
    choose(const placement_index& index, const resources& demand, candidate_filter admits) override;

    /// Count work of the service that was found running, e.g. after its driver was replaced.
    void work_started(std::string_view rack);

    /// Count that work of the service left a rack.
    void work_ended(std::string_view rack);

private:
    [[nodiscard]] std::size_t work_on_rack(std::string_view rack) const;

    std::map<std::string, std::size_t, std::less<>> work_by_rack; ///< pieces of work by rack
};

} // namespace verbenalever
