#pragma once

#include <functional>
#include <span>
#include <string>
#include <string_view>

namespace tool {

class session;

/// One verb of the command line, e.g. "job submit".
struct verb {
    std::string_view name;
    std::string_view arguments; ///< shown after the name in help
    std::string_view summary;   ///< one line
    std::string_view flags;     ///< names of the flags that it reads, for its help

    /// @param arguments what follows the name, flags taken out
    /// @return the process's exit code
    int (*run)(session& current_session, std::span<const std::string> arguments);
};

/// @return every verb, in the order in which help lists them
[[nodiscard]] std::span<const verb> all_verbs();

} // namespace tool
