#include "limits/allotment_planner.h"

#include "limits/resource_arithmetic.h"

#include <algorithm>

namespace verbenalever {

namespace {

/// Amounts are raised to at most 1/headroom_divisor of this entry daemon's even share of what is
/// not allotted, so that some is left for entry daemons that request it later. Unused amounts are
/// released in the same proportion.
constexpr std::int64_t headroom_divisor = 2;

resources clamp_negative_to_zero(const resources& amount)
{
    return componentwise_max(amount, {});
}

/// The next version of the record while it is computed, and the part of the limit not allotted.
struct plan {
    allotment_record next;
    resources unallotted;
    resources limit;

    void grant(const allotted_target& target, const resources& wanted)
    {
        const auto amount = componentwise_min(
            drop_unlimited(clamp_negative_to_zero(wanted), this->limit), this->unallotted);
        this->next.set(target.name, this->next.amount_of(target.name) + amount);
        this->unallotted -= amount;
    }

    void release(const allotted_target& target, const resources& amount)
    {
        this->next.set(target.name, this->next.amount_of(target.name) - amount);
        this->unallotted += amount;
    }

    [[nodiscard]] resources unused_amount(const allotted_target& target) const
    {
        return clamp_negative_to_zero(this->next.amount_of(target.name) - target.use);
    }
};

/// Raise amounts to the current use first, so that running work is accounted for.
void cover_use(plan& plan, std::span<const allotted_target> held)
{
    for (const auto& target : held)
        plan.grant(target, target.use - plan.next.amount_of(target.name));
}

/// Scale amounts down to a lowered limit, but not below what is running.
void shrink_to_limit(plan& plan, std::span<const allotted_target> held, const resources& total)
{
    for (const auto& target : held) {
        const auto amount = plan.next.amount_of(target.name);
        const auto scaled = componentwise_max(scale_to_limit(amount, total, plan.limit),
                                              componentwise_min(target.use, amount));
        plan.release(target, clamp_negative_to_zero(amount - scaled));
    }
}

/// @return one entry daemon's even share of the limit, rounded up
resources even_share_of(const allotment_plan_input& request)
{
    const auto entries = std::max<std::int64_t>(request.sharing_entries, 1);
    const resources rounding{.slots = entries - 1,
                             .processors_milli = entries - 1,
                             .memory_mb = entries - 1,
                             .accelerators = entries - 1};
    return divide(request.limit + rounding, entries);
}

/// @return the sum of the held targets' amounts
resources total_of(const allotment_record& record, std::span<const allotted_target> held)
{
    resources sum;
    for (const auto& target : held)
        sum += record.amount_of(target.name);
    return sum;
}

/// @return the part of the held targets' amounts above this entry daemon's even share
resources excess_over_even_share(const allotment_record& record,
                                 std::span<const allotted_target> held,
                                 const allotment_plan_input& request)
{
    return clamp_negative_to_zero(
        drop_unlimited(total_of(record, held) - even_share_of(request), request.limit));
}

/// Release unused amounts that another entry daemon requested: of each target half of what is
/// unused, or more if one start of the other entry daemon needs it. While starts wait here too,
/// release only the excess over the even share.
void release_to_peers(plan& plan, std::span<const allotted_target> held,
                      const allotment_plan_input& request)
{
    const bool demand_waits_here = request.demand != resources{};
    auto still_requested = drop_unlimited(request.peer_demand, plan.limit);
    if (demand_waits_here)
        still_requested =
            componentwise_min(still_requested, excess_over_even_share(plan.next, held, request));
    for (const auto& target : held) {
        const auto unused_amount = plan.unused_amount(target);
        const auto half_of_unused = divide(unused_amount, headroom_divisor);
        const auto amount = componentwise_min(
            componentwise_max(half_of_unused,
                              componentwise_min(unused_amount, request.peer_demand)),
            still_requested);
        plan.release(target, amount);
        still_requested -= amount;
    }
}

/// Release unused amounts of targets without free capacity for @p demand, so that they can be
/// allotted to targets that have it.
void reclaim_unplaceable(plan& plan, std::span<const allotted_target> held, const resources& demand)
{
    for (const auto& target : held) {
        if (!demand.fits_within(target.free))
            plan.release(target, drop_unlimited(plan.unused_amount(target), plan.limit));
    }
}

/// Raise the amounts of targets with enough free capacity so that at least one start fits, with
/// some headroom for further starts.
void allot_for_demand(plan& plan, std::span<const allotted_target> held,
                      const allotment_plan_input& request)
{
    const auto demand = drop_unlimited(request.demand, plan.limit);
    if (!demand.fits_within(plan.unallotted))
        reclaim_unplaceable(plan, held, request.demand);
    const auto share_of_unallotted = componentwise_max(
        demand, divide(plan.unallotted,
                       headroom_divisor * std::max<std::int64_t>(request.sharing_entries, 1)));
    auto budget = componentwise_min(share_of_unallotted, plan.unallotted);
    if (request.sharing_entries > 1) {
        const auto below_even_share =
            clamp_negative_to_zero(even_share_of(request) - total_of(plan.next, held));
        budget = componentwise_min(budget, drop_unlimited(below_even_share, request.limit));
    }
    const auto max_per_target = componentwise_max(
        demand, divide(share_of_unallotted, std::max<std::int64_t>(std::ssize(held), 1)));
    for (const auto& target : held) {
        if (!request.demand.fits_within(target.free) || !demand.fits_within(budget))
            continue;
        const auto wanted = componentwise_min(
            max_per_target, componentwise_max(demand, drop_unlimited(target.free, plan.limit)));
        const auto missing = clamp_negative_to_zero(wanted - plan.unused_amount(target));
        plan.grant(target, componentwise_min(missing, budget));
        budget -= componentwise_min(missing, budget);
    }
}

} // namespace

std::optional<allotment_record> plan_allotments(const allotment_record& record,
                                                std::span<const allotted_target> held,
                                                const allotment_plan_input& request)
{
    const auto total = record.total();
    plan plan{.next = record,
              .unallotted =
                  clamp_negative_to_zero(drop_unlimited(request.limit, request.limit) - total),
              .limit = request.limit};
    const bool above_limit = !drop_unlimited(total, request.limit).fits_within(request.limit);
    if (above_limit) {
        shrink_to_limit(plan, held, total);
        plan.unallotted = clamp_negative_to_zero(drop_unlimited(request.limit, request.limit) -
                                                 plan.next.total());
    }
    cover_use(plan, held);
    const auto covered = plan.next.amounts;
    if (request.peer_demand != resources{})
        release_to_peers(plan, held, request);
    const bool released = plan.next.amounts != covered;
    if (request.demand != resources{} && !request.cover_use_only && !above_limit && !released)
        allot_for_demand(plan, held, request);
    if (plan.next.amounts == record.amounts)
        return std::nullopt;
    return plan.next;
}

std::map<std::string, resources, std::less<>> plan_ceilings(const allotment_record& record,
                                                            std::span<const allotted_target> held,
                                                            const allotment_plan_input& request)
{
    std::map<std::string, resources, std::less<>> ceilings;
    auto amount_to_free =
        componentwise_min(excess_over_even_share(record, held, request), request.peer_demand);
    for (const auto& target : held) {
        const auto amount = record.amount_of(target.name);
        const auto freed = componentwise_min(amount, amount_to_free);
        if (freed == resources{})
            continue;
        ceilings[target.name] = amount - freed;
        amount_to_free -= freed;
    }
    return ceilings;
}

} // namespace verbenalever
