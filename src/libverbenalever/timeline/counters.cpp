#include "timeline/counters.h"

#include <fmt/format.h>

#include <iterator>

namespace verbenalever {

void counters::add(std::string_view name, std::int64_t amount)
{
    if (const auto found = this->values.find(name); found != this->values.end())
        found->second += amount;
    else
        this->values.emplace(name, amount);
}

void counters::set(std::string_view name, std::int64_t value)
{
    if (const auto found = this->values.find(name); found != this->values.end())
        found->second = value;
    else
        this->values.emplace(name, value);
}

void counters::observe(std::string_view name, microseconds latency)
{
    auto found = this->latencies.find(name);
    if (found == this->latencies.end())
        found = this->latencies.emplace(name, latency_histogram()).first;
    found->second.add(latency);
}

std::int64_t counters::value(std::string_view name) const
{
    const auto found = this->values.find(name);
    return found == this->values.end() ? 0 : found->second;
}

std::string counters::text() const
{
    std::string out;
    for (const auto& [name, value] : this->values)
        fmt::format_to(std::back_inserter(out), "verbenalever_{} {}\n", name, value);
    for (const auto& [name, latency] : this->latencies) {
        for (const double fraction : {0.5, 0.95, 0.99}) {
            const auto seconds = static_cast<double>(latency.quantile(fraction).count()) / 1e6;
            fmt::format_to(std::back_inserter(out),
                           "verbenalever_{}_seconds{{quantile=\"{}\"}} {}\n", name, fraction,
                           seconds);
        }
        fmt::format_to(std::back_inserter(out), "verbenalever_{}_seconds_count {}\n", name,
                       latency.count());
    }
    return out;
}

} // namespace verbenalever
