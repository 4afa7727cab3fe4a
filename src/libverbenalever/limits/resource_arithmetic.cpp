#include "limits/resource_arithmetic.h"

#include <algorithm>
#include <array>

namespace verbenalever {

namespace {

using amount_member = std::int64_t resources::*;

constexpr std::array<amount_member, 4> members{&resources::slots, &resources::processors_milli,
                                               &resources::memory_mb, &resources::accelerators};

/// Above any possible use, yet small enough that sums of several do not overflow.
constexpr std::int64_t beyond_any_use = std::int64_t{1} << 60U;

} // namespace

resources componentwise_min(const resources& left, const resources& right)
{
    resources result;
    for (const auto member : members)
        result.*member = std::min(left.*member, right.*member);
    return result;
}

resources componentwise_max(const resources& left, const resources& right)
{
    resources result;
    for (const auto member : members)
        result.*member = std::max(left.*member, right.*member);
    return result;
}

resources divide(const resources& whole, std::int64_t parts)
{
    resources result;
    for (const auto member : members)
        result.*member = whole.*member / parts;
    return result;
}

resources scale_to_limit(const resources& amount, const resources& total, const resources& limit)
{
    resources result = amount;
    for (const auto member : members) {
        if (total.*member > limit.*member)
            result.*member = amount.*member * (limit.*member) / (total.*member);
    }
    return result;
}

resources lift_unlimited(resources amount, const resources& limit)
{
    for (const auto member : members) {
        if (limit.*member >= unlimited_amount)
            amount.*member = beyond_any_use;
    }
    return amount;
}

resources drop_unlimited(resources amount, const resources& limit)
{
    for (const auto member : members) {
        if (limit.*member >= unlimited_amount)
            amount.*member = 0;
    }
    return amount;
}

} // namespace verbenalever
