#pragma once

#include <string>

namespace verbenalever {

/// A granted access key. Only its digest is stored, never the key itself.
struct key_configuration {
    std::string id;
    std::string team;   ///< empty for an operator's key
    std::string sha256; ///< digest of the key, lower-case hexadecimal
};

} // namespace verbenalever
