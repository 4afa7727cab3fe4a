#pragma once

#include <string>
#include <string_view>

namespace verbenalever {

/// @return a team's name as part of a key: characters other than letters, digits, '-' and '_'
///         become '.' and two hexadecimal digits
[[nodiscard]] std::string team_to_key(std::string_view team);

/// @return the team's name that team_to_key() was given
[[nodiscard]] std::string team_from_key(std::string_view key);

} // namespace verbenalever
