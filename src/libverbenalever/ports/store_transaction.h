#pragma once

#include "loop/clock.h"

#include <cstdint>
#include <string>
#include <vector>

namespace verbenalever {

/// A change of several keys that happens whole or not at all.
struct store_transaction {
    /// A key that must be at this revision; 0: must not exist.
    struct condition {
        std::string key;
        std::int64_t revision = 0;
    };
    /// A key to write.
    struct write {
        std::string key;
        std::string value;
        std::int64_t lease = 0; ///< 0: stays until deleted
    };

    std::vector<condition> conditions;
    std::vector<write> writes;
    std::vector<std::string> deletes;
    milliseconds timeout{1000};

    /// Most conditions, writes and deletes together that the store takes.
    static constexpr std::size_t max_entries = 32;
};

} // namespace verbenalever
