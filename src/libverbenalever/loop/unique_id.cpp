#include "loop/unique_id.h"

#include <fmt/format.h>
#include <sys/random.h>

#include <cerrno>
#include <cstdlib>
#include <vector>

namespace verbenalever {

namespace {

constexpr std::size_t unique_id_bytes = 8;

} // namespace

std::string random_hex(std::size_t bytes)
{
    std::vector<unsigned char> buffer(bytes);
    std::size_t filled = 0;
    while (filled < bytes) {
        const auto got = getrandom(buffer.data() + filled, bytes - filled, 0);
        if (got > 0)
            filled += static_cast<std::size_t>(got);
        else if (errno != EINTR)
            std::abort(); // identifiers would not be unique
    }
    std::string text;
    for (const auto byte : buffer)
        text += fmt::format("{:02x}", byte);
    return text;
}

std::string make_unique_id(const char* prefix)
{
    return fmt::format("{}-{}", prefix, random_hex(unique_id_bytes));
}

} // namespace verbenalever
