#pragma once

#include <string>
#include <string_view>

namespace verbenalever {

/// @return SHA-256 of @p key as 64 lower-case hexadecimal digits
[[nodiscard]] std::string key_digest(std::string_view key);

/// Compare in a time that does not depend on where the texts differ, against timing attacks.
/// @return whether the texts are equal
[[nodiscard]] bool equal_constant_time(std::string_view left, std::string_view right);

} // namespace verbenalever
