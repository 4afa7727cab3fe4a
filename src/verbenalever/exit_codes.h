#pragma once

namespace tool {

/// Exit codes that scripts may rely on.
enum exit_code : int {
    exit_ok = 0,
    exit_failed = 1,      ///< the work ran and failed, or a response could not be parsed
    exit_usage = 2,       ///< the command line or a file has errors
    exit_not_run = 3,     ///< rejected: it has not run and will not run
    exit_unknown = 4,     ///< no response: it may have run
    exit_unreachable = 5, ///< no entry could be reached
    // Of "config check", for a valid configuration; the first that applies.
    exit_never_matches = 6, ///< an entry that no work or caller can match
    exit_contradiction = 7, ///< limits that contradict each other
    exit_differs = 8,       ///< it differs from the version in force
};

} // namespace tool
