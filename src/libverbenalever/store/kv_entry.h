#pragma once

#include <cstdint>
#include <string>

namespace verbenalever {

/// One key of the platform's key-value service.
struct kv_entry {
    std::string key;
    std::string value;
    std::int64_t revision = 0; ///< of the last write to this key; zero when the key is absent
    bool deleted = false;      ///< only in watch results
};

} // namespace verbenalever
