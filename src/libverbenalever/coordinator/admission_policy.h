#pragma once

namespace verbenalever {

/// Which submissions a coordinator refuses because of the work that waits.
enum class admission_policy {
    none,     ///< none
    deadline, ///< those that would probably end too late to be of use
};

} // namespace verbenalever
