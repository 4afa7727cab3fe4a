#pragma once

#include "configuration/restriction.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace verbenalever {

/// The restrictions that the stored configuration does not include yet. The result of applying them
/// does not depend on the order in which they were added.
class restriction_set {
public:
    /// @return whether the set did not contain @p added before
    bool add(restriction added);

    /// Remove the restrictions that the stored configuration includes or reverses.
    /// @param ids of the restrictions to remove
    void remove(std::span<const std::string> ids);

    /// @return @p configuration narrowed by every restriction
    [[nodiscard]] operator_configuration narrow(operator_configuration configuration) const;

    [[nodiscard]] const std::map<std::string, restriction, std::less<>>& all() const;

    /// @return the ids of the restrictions of @p kind on @p subject
    [[nodiscard]] std::vector<std::string> find_ids(std::string_view kind,
                                                    std::string_view subject) const;

private:
    std::map<std::string, restriction, std::less<>> members; ///< by id
};

} // namespace verbenalever
