#include "scheduling/refusal_memory.h"

namespace verbenalever {

namespace {

/// The longest that a raised limit goes unseen.
constexpr milliseconds memory{500};

} // namespace

void refusal_memory::note(std::string_view team, const resources& demand, monotonic_time now)
{
    this->refusals[std::string(team)] = {.demand = demand, .until = now + memory};
}

bool refusal_memory::refuses(std::string_view team, const resources& demand,
                             monotonic_time now) const
{
    const auto found = this->refusals.find(team);
    return found != this->refusals.end() && now < found->second.until &&
           found->second.demand.fits_within(demand);
}

void refusal_memory::forget(std::string_view team)
{
    if (const auto found = this->refusals.find(team); found != this->refusals.end())
        this->refusals.erase(found);
}

void refusal_memory::clear()
{
    this->refusals.clear();
}

} // namespace verbenalever
