#include "access/key_digest.h"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace verbenalever {

std::string key_digest(std::string_view key)
{
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), digest.data());
    std::string text;
    for (const auto byte : digest)
        text += fmt::format("{:02x}", byte);
    return text;
}

bool equal_constant_time(std::string_view left, std::string_view right)
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

} // namespace verbenalever
