#include "access/wrong_key_limiter.h"

#include <algorithm>
#include <cmath>

namespace verbenalever {

namespace {

constexpr std::size_t max_sources = 4096;
constexpr double milliseconds_per_second = 1000;

} // namespace

double wrong_key_limiter::bucket::tokens_at(monotonic_time now) const
{
    const auto passed = std::chrono::duration<double>(now - this->updated_at).count();
    return std::min(burst, this->tokens + passed * rate);
}

std::optional<milliseconds> wrong_key_limiter::count(std::string_view source, monotonic_time now)
{
    if (this->buckets.size() >= max_sources && !this->buckets.contains(source))
        this->remove_idle(now);
    auto& present =
        this->buckets.try_emplace(std::string(source), bucket{.updated_at = now}).first->second;
    const auto tokens = present.tokens_at(now);
    if (tokens >= 1) {
        present = {.tokens = tokens - 1, .updated_at = now};
        return std::nullopt;
    }
    return milliseconds(
        static_cast<std::int64_t>(std::ceil((1 - tokens) / rate * milliseconds_per_second)));
}

std::size_t wrong_key_limiter::size() const
{
    return this->buckets.size();
}

void wrong_key_limiter::remove_idle(monotonic_time now)
{
    std::erase_if(this->buckets,
                  [now](const auto& entry) { return entry.second.tokens_at(now) >= burst; });
    if (this->buckets.size() >= max_sources)
        this->buckets.clear(); // every bucket is in use: drop all to bound the memory
}

} // namespace verbenalever
