#include "coordination/vm_fitness.h"

namespace verbenalever {

namespace {

/// A VM with at most this fraction of another VM's processor share is weak beside it.
constexpr double weak_share_ratio = 0.6;
/// The same for the link: state that a fast link loads in a tenth of a second must not take longer
/// than a lease of the coordinator.
constexpr double weak_link_ratio = 0.25;
/// Shares are read as decimal fractions: 0.3 counts as 0.6 times 0.5.
constexpr double rounding = 1 + 1e-9;

bool has_small_share(const vm_fitness& vm, double other_share)
{
    return vm.processor_share <= other_share * weak_share_ratio * rounding;
}

/// @return whether both links are known and the one of @p vm is much slower
bool has_slow_link(const vm_fitness& vm, const vm_fitness& other)
{
    return vm.link_mbps > 0 && vm.link_mbps <= other.link_mbps * weak_link_ratio * rounding;
}

} // namespace

bool vm_fitness::is_weak_beside(const vm_fitness& other) const
{
    const bool weaker =
        has_small_share(*this, other.processor_share) || has_slow_link(*this, other);
    const bool stronger =
        has_small_share(other, this->processor_share) || has_slow_link(other, *this);
    return weaker && !stronger;
}

int vm_fitness::weakness_beside(const vm_fitness& other) const
{
    if (!this->is_weak_beside(other))
        return 0;
    int level = 1;
    for (auto share = other.processor_share * weak_share_ratio;
         level < max_weakness && has_small_share(*this, share); share *= weak_share_ratio)
        ++level;
    return level;
}

const vm_fitness& fitter(const vm_fitness& left, const vm_fitness& right)
{
    if (left.is_weak_beside(right))
        return right;
    if (right.is_weak_beside(left) || left.processor_share > right.processor_share)
        return left;
    if (left.processor_share == right.processor_share && left.link_mbps >= right.link_mbps)
        return left;
    return right;
}

} // namespace verbenalever
