#include "limits/limited_amounts.h"

#include <algorithm>
#include <array>

namespace verbenalever {

namespace {

using amount_member = std::int64_t resources::*;

constexpr std::array<amount_member, 4> members{&resources::slots, &resources::processors_milli,
                                               &resources::memory_mb, &resources::accelerators};

/// More than any use, and far enough from overflow to be added up.
constexpr std::int64_t beyond_any_use = std::int64_t{1} << 60U;

} // namespace

resources least_of(const resources& left, const resources& right)
{
    resources result;
    for (const auto member : members)
        result.*member = std::min(left.*member, right.*member);
    return result;
}

resources greatest_of(const resources& left, const resources& right)
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

resources scale_down(const resources& amount, const resources& total, const resources& limit)
{
    resources result = amount;
    for (const auto member : members) {
        if (total.*member > limit.*member)
            result.*member = amount.*member * (limit.*member) / (total.*member);
    }
    return result;
}

resources open_unlimited(resources amount, const resources& limit)
{
    for (const auto member : members) {
        if (limit.*member >= unlimited_amount)
            amount.*member = beyond_any_use;
    }
    return amount;
}

resources only_limited(resources amount, const resources& limit)
{
    for (const auto member : members) {
        if (limit.*member >= unlimited_amount)
            amount.*member = 0;
    }
    return amount;
}

} // namespace verbenalever
