#pragma once

#include <string>

namespace verbenalever {

/// A key that was granted; the key itself is kept nowhere.
struct key_configuration {
    std::string id;
    std::string team;
    std::string sha256; ///< lower-case hexadecimal
};

} // namespace verbenalever
