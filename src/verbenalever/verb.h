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
    std::string_view summary;   ///< one-line description
    std::string_view flags;     ///< names of the flags that its help lists, separated by spaces

    /// @param arguments the words after the name, without flags
    /// @return the process's exit code
    int (*run)(session& current_session, std::span<const std::string> arguments);
};

/// @return all verbs, in the order in which the help lists them
[[nodiscard]] std::span<const verb> all_verbs();

} // namespace tool
