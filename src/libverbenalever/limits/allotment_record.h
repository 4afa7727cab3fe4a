#pragma once

#include "scheduling/resources.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace verbenalever {

/// How one team's upper limit is divided among targets; stored in the platform's key-value service.
///
/// The entry daemon that holds a target's lease may run the team's work there up to the target's
/// amount. The sum of the amounts exceeds the limit only after an operator lowered the limit.
struct allotment_record {
    std::string writer;        ///< entry daemon that wrote this version
    std::int64_t sequence = 0; ///< counts the writer's writes; distinguishes versions
    std::map<std::string, resources, std::less<>> amounts; ///< by target

    /// @return the target's amount, zero when it has none
    [[nodiscard]] resources amount_of(std::string_view target) const;

    /// @return the sum of all amounts
    [[nodiscard]] resources total() const;

    /// Set a target's amount; zero removes it.
    void set(std::string_view target, const resources& amount);

    /// @return the record serialized as JSON
    [[nodiscard]] std::string text() const;

    /// @return INVALID_ARGUMENT when the text is not a record
    [[nodiscard]] static absl::StatusOr<allotment_record> parse(std::string_view text);
};

} // namespace verbenalever
