#include "membership/rendezvous.h"

#include <xxhash.h>

namespace verbenalever {

namespace {

std::uint64_t weight(std::string_view key, std::string_view node)
{
    const auto seed = XXH3_64bits(node.data(), node.size());
    return XXH3_64bits_withSeed(key.data(), key.size(), seed);
}

} // namespace

std::string_view rendezvous_owner(std::string_view key, std::span<const std::string> nodes)
{
    std::string_view owner;
    std::uint64_t highest = 0;
    for (const auto& node : nodes) {
        const auto candidate = weight(key, node);
        if (owner.empty() || candidate > highest || (candidate == highest && node < owner)) {
            owner = node;
            highest = candidate;
        }
    }
    return owner;
}

} // namespace verbenalever
