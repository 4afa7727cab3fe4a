#pragma once

#include "loop/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace verbenalever {

/// An atomic change of several keys.
struct store_transaction {
    /// Requires that a key is at this revision; 0: that it does not exist.
    struct condition {
        std::string key;
        std::int64_t revision = 0;
    };
    /// Writes a value to a key.
    struct write {
        std::string key;
        std::string value;
        std::int64_t lease = 0; ///< the key is deleted when this lease ends; 0: no lease
    };

    std::vector<condition> conditions;
    std::vector<write> writes;
    std::vector<std::string> deletes;
    milliseconds timeout{1000};

    /// Maximum number of conditions, writes and deletes together that the store accepts.
    static constexpr std::size_t max_entries = 32;
};

} // namespace verbenalever
