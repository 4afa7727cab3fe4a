#pragma once

#include "configuration/restriction.h"

#include <map>
#include <span>
#include <string>
#include <vector>

namespace verbenalever {

/// The restrictions that the kept configuration does not hold yet. Sets join by union.
class restriction_set {
public:
    /// @return whether @p added was new
    bool add(restriction added);

    /// Drop what the kept configuration holds or undoes.
    /// @param ids settled by the kept document
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
