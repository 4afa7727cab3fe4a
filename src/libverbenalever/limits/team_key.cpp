#include "limits/team_key.h"

#include <fmt/format.h>

#include <charconv>

namespace verbenalever {

namespace {

constexpr int hexadecimal = 16;
constexpr std::size_t escape_length = 3;

bool is_plain(char character)
{
    return (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
           (character >= '0' && character <= '9') || character == '-' || character == '_';
}

} // namespace

std::string encode_team_key(std::string_view team)
{
    std::string key;
    for (const char character : team) {
        if (is_plain(character))
            key += character;
        else
            key += fmt::format(".{:02x}", static_cast<unsigned char>(character));
    }
    return key;
}

std::string decode_team_key(std::string_view key)
{
    std::string team;
    for (std::size_t i = 0; i < key.size(); ++i) {
        if (key[i] != '.' || i + escape_length > key.size()) {
            team += key[i];
            continue;
        }
        unsigned value = 0;
        std::from_chars(key.data() + i + 1, key.data() + i + escape_length, value, hexadecimal);
        team += static_cast<char>(value);
        i += escape_length - 1;
    }
    return team;
}

} // namespace verbenalever
