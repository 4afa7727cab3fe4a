#pragma once

#include <cstddef>
#include <string>

namespace verbenalever {

/// @return @p bytes random bytes from the operating system, as lower-case hexadecimal.
[[nodiscard]] std::string random_hex(std::size_t bytes);

/// @return an identifier that is unique across all processes, such as "job-1f0c...".
[[nodiscard]] std::string make_unique_id(const char* prefix);

} // namespace verbenalever
