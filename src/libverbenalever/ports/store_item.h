#pragma once

#include <cstdint>
#include <string>

namespace verbenalever {

/// A key of the metadata store and its value.
struct store_item {
    std::string key;
    std::string value;
    std::int64_t revision = 0; ///< of its last change
    bool removed = false;      ///< only in changes: the key was deleted
};

} // namespace verbenalever
