#include "scheduling/refusal_cache.h"

namespace verbenalever {

namespace {

/// A raised limit takes effect after this time at the latest.
constexpr milliseconds entry_lifetime{500};

} // namespace

void refusal_cache::add(std::string_view team, const resources& demand, monotonic_time now)
{
    this->refusals[std::string(team)] = {.demand = demand, .expires = now + entry_lifetime};
}

bool refusal_cache::contains(std::string_view team, const resources& demand,
                             monotonic_time now) const
{
    const auto found = this->refusals.find(team);
    return found != this->refusals.end() && now < found->second.expires &&
           found->second.demand.fits_within(demand);
}

void refusal_cache::remove_team(std::string_view team)
{
    if (const auto found = this->refusals.find(team); found != this->refusals.end())
        this->refusals.erase(found);
}

void refusal_cache::clear()
{
    this->refusals.clear();
}

} // namespace verbenalever
