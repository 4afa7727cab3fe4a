#include "limits/allotment_planner.h"

#include "limits/limited_amounts.h"

#include <algorithm>

namespace verbenalever {

namespace {

/// An entry takes at most this part of its even portion of what is left, so that those who ask
/// later still find some.
constexpr std::int64_t cautious_parts = 2;

resources positive_part(const resources& amount)
{
    return greatest_of(amount, {});
}

/// The plan being made: the next record and what is not allotted yet.
struct plan {
    allotment_record next;
    resources left;
    resources limit;

    void grant(const allotted_target& target, const resources& wanted)
    {
        const auto given = least_of(only_limited(positive_part(wanted), this->limit), this->left);
        this->next.set(target.name, this->next.amount_of(target.name) + given);
        this->left -= given;
    }

    void take_back(const allotted_target& target, const resources& amount)
    {
        this->next.set(target.name, this->next.amount_of(target.name) - amount);
        this->left += amount;
    }

    [[nodiscard]] resources unused(const allotted_target& target) const
    {
        return positive_part(this->next.amount_of(target.name) - target.use);
    }
};

/// What already runs must be within its amount before anything else is given out.
void cover_use(plan& plan, std::span<const allotted_target> held)
{
    for (const auto& target : held)
        plan.grant(target, target.use - plan.next.amount_of(target.name));
}

/// Bring amounts back under a limit that was lowered, as far as what runs allows.
void shrink(plan& plan, std::span<const allotted_target> held, const resources& total)
{
    for (const auto& target : held) {
        const auto amount = plan.next.amount_of(target.name);
        const auto scaled =
            greatest_of(scale_down(amount, total, plan.limit), least_of(target.use, amount));
        plan.take_back(target, positive_part(amount - scaled));
    }
}

/// @return an entry's even portion of the limit, rounded up
resources portion_of(const allotment_request& request)
{
    const auto entries = std::max<std::int64_t>(request.entries, 1);
    const resources rounding{.slots = entries - 1,
                             .processors_milli = entries - 1,
                             .memory_mb = entries - 1,
                             .accelerators = entries - 1};
    return divide(request.limit + rounding, entries);
}

/// @return what the held targets have together
resources together(const allotment_record& record, std::span<const allotted_target> held)
{
    resources sum;
    for (const auto& target : held)
        sum += record.amount_of(target.name);
    return sum;
}

/// @return what the held targets have together above this entry's portion
resources excess_of(const allotment_record& record, std::span<const allotted_target> held,
                    const allotment_request& request)
{
    return positive_part(only_limited(together(record, held) - portion_of(request), request.limit));
}

/// Hand back unused amounts that other entries lack: half of what is unused, but enough for one
/// start where there is as much. While starts wait here too, only what is above the even portion.
void give_up(plan& plan, std::span<const allotted_target> held, const allotment_request& request)
{
    const bool waiting_here = request.demand != resources{};
    auto still_lacking = only_limited(request.give_up, plan.limit);
    if (waiting_here)
        still_lacking = least_of(still_lacking, excess_of(plan.next, held, request));
    for (const auto& target : held) {
        const auto unused = plan.unused(target);
        const auto half = divide(unused, cautious_parts);
        const auto given =
            least_of(greatest_of(half, least_of(unused, request.give_up)), still_lacking);
        plan.take_back(target, given);
        still_lacking -= given;
    }
}

/// Take unused amounts off targets whose room others have taken, for use on targets with room.
void collect_stranded(plan& plan, std::span<const allotted_target> held, const resources& demand)
{
    for (const auto& target : held) {
        if (!demand.fits_within(target.free))
            plan.take_back(target, only_limited(plan.unused(target), plan.limit));
    }
}

/// Make room for at least one start, and some more, on targets that could take it.
void make_room(plan& plan, std::span<const allotted_target> held, const allotment_request& request)
{
    const auto demand = only_limited(request.demand, plan.limit);
    if (!demand.fits_within(plan.left))
        collect_stranded(plan, held, request.demand);
    const auto portion = greatest_of(
        demand, divide(plan.left, cautious_parts * std::max<std::int64_t>(request.entries, 1)));
    auto budget = least_of(portion, plan.left);
    if (request.entries > 1) {
        const auto below = positive_part(portion_of(request) - together(plan.next, held));
        budget = least_of(budget, only_limited(below, request.limit));
    }
    const auto per_target =
        greatest_of(demand, divide(portion, std::max<std::int64_t>(std::ssize(held), 1)));
    for (const auto& target : held) {
        if (!request.demand.fits_within(target.free) || !demand.fits_within(budget))
            continue;
        const auto wanted =
            least_of(per_target, greatest_of(demand, only_limited(target.free, plan.limit)));
        const auto missing = positive_part(wanted - plan.unused(target));
        plan.grant(target, least_of(missing, budget));
        budget -= least_of(missing, budget);
    }
}

} // namespace

std::optional<allotment_record> plan_allotments(const allotment_record& record,
                                                std::span<const allotted_target> held,
                                                const allotment_request& request)
{
    const auto total = record.total();
    plan plan{.next = record,
              .left = positive_part(only_limited(request.limit, request.limit) - total),
              .limit = request.limit};
    const bool above_limit = !only_limited(total, request.limit).fits_within(request.limit);
    if (above_limit) {
        shrink(plan, held, total);
        plan.left = positive_part(only_limited(request.limit, request.limit) - plan.next.total());
    }
    cover_use(plan, held);
    const auto covered = plan.next.amounts;
    if (request.give_up != resources{})
        give_up(plan, held, request);
    const bool gave_up = plan.next.amounts != covered;
    if (request.demand != resources{} && !request.cover_only && !above_limit && !gave_up)
        make_room(plan, held, request);
    if (plan.next.amounts == record.amounts)
        return std::nullopt;
    return plan.next;
}

std::map<std::string, resources, std::less<>> plan_ceilings(const allotment_record& record,
                                                            std::span<const allotted_target> held,
                                                            const allotment_request& request)
{
    std::map<std::string, resources, std::less<>> ceilings;
    auto to_free = least_of(excess_of(record, held, request), request.give_up);
    for (const auto& target : held) {
        const auto amount = record.amount_of(target.name);
        const auto freed = least_of(amount, to_free);
        if (freed == resources{})
            continue;
        ceilings[target.name] = amount - freed;
        to_free -= freed;
    }
    return ceilings;
}

} // namespace verbenalever
