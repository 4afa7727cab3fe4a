#pragma once

#include <string>
#include <string_view>

namespace verbenalever {

/// @return the team's name encoded for use in a key of the key-value service: characters other than
///         letters, digits, '-' and '_' become '.' and two hexadecimal digits
[[nodiscard]] std::string encode_team_key(std::string_view team);

/// @return the team's name that encode_team_key() encoded
[[nodiscard]] std::string decode_team_key(std::string_view key);

} // namespace verbenalever
