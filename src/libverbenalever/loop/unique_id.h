#pragma once

#include <cstddef>
#include <string>

namespace verbenalever {

/// @return @p bytes random bytes from the system's generator, as lower-case hexadecimal.
[[nodiscard]] std::string random_hex(std::size_t bytes);

/// @return an identifier that is unique over all processes, such as "job-1f0c...".
[[nodiscard]] std::string make_unique_id(const char* prefix);

} // namespace verbenalever
