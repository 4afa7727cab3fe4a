#include "access/wrong_key_limiter.h"

#include <algorithm>
#include <cmath>

namespace verbenalever {

namespace {

constexpr std::size_t most_sources = 4096;
constexpr double milliseconds_per_second = 1000;

} // namespace

double wrong_key_limiter::bucket::at(monotonic_time now) const
{
    const auto passed = std::chrono::duration<double>(now - this->since).count();
    return std::min(burst, this->tokens + passed * rate);
}

std::optional<milliseconds> wrong_key_limiter::count(std::string_view source, monotonic_time now)
{
    if (this->buckets.size() >= most_sources && !this->buckets.contains(source))
        this->forget_idle(now);
    auto& present =
        this->buckets.try_emplace(std::string(source), bucket{.since = now}).first->second;
    const auto tokens = present.at(now);
    if (tokens >= 1) {
        present = {.tokens = tokens - 1, .since = now};
        return std::nullopt;
    }
    return milliseconds(
        static_cast<std::int64_t>(std::ceil((1 - tokens) / rate * milliseconds_per_second)));
}

std::size_t wrong_key_limiter::size() const
{
    return this->buckets.size();
}

void wrong_key_limiter::forget_idle(monotonic_time now)
{
    std::erase_if(this->buckets,
                  [now](const auto& entry) { return entry.second.at(now) >= burst; });
    if (this->buckets.size() >= most_sources)
        this->buckets.clear(); // more sources at work than can be told apart: start again
}

} // namespace verbenalever
