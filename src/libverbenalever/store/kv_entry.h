#pragma once

#include <cstdint>
#include <string>

namespace verbenalever {

/// A key of the platform's key-value service and its value.
struct kv_entry {
    std::string key;
    std::string value;
    std::int64_t revision = 0; ///< of the last write to this key; zero: the key is absent
    bool deleted = false;      ///< only in watch results
};

} // namespace verbenalever
