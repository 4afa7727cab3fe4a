#include "coordination/hand_over_policy.h"

#include <algorithm>

namespace verbenalever {

namespace {

/// A coordinator whose event loop runs later than this is too slow: the latency objectives of
/// urgent work are a few hundred milliseconds.
constexpr milliseconds max_loop_lag{150};
/// The coordinator hands over because of its lag only if another process lags this many times less.
constexpr int min_lag_ratio = 4;
/// No hand-over because of lag within this time of an election or an earlier hand-over.
constexpr milliseconds lag_grace{2000};
/// Time without progress after which a coordinator that reaches the store hands over: longer than a
/// few attempts that are lost, shorter than callers wait for an answer.
constexpr milliseconds max_stall{3000};

/// A page of stored items: up to a megabyte of values, encoded as base64 text in JSON.
constexpr double page_megabits = 1.4 * 8;

/// @return time without a page of the stored state that counts as a stall: at least what two pages
/// take over the link, since another VM with such a link would not be faster
milliseconds max_load_stall(double link_mbps)
{
    if (link_mbps <= 0)
        return max_stall;
    const auto seconds = 2 * page_megabits / link_mbps;
    return std::max(max_stall, milliseconds(static_cast<std::int64_t>(seconds * 1000)));
}

} // namespace

std::optional<hand_over_decision> decide_hand_over(const coordinator_condition& own,
                                                   std::span<const member_condition> members)
{
    if (own.paused)
        return std::nullopt;
    const auto find = [members](const auto& matches) -> const member_condition* {
        const auto found = std::ranges::find_if(members, [&matches](const auto& member) {
            return member.can_coordinate && matches(member);
        });
        return found == members.end() ? nullptr : &*found;
    };
    // While the store answers neither this process nor a member's fresh call, it may be away, and
    // nobody could be elected.
    const auto* stronger = find([&own](const member_condition& member) {
        return own.fitness.is_weak_beside(member.fitness) && member.loop_lag < max_loop_lag &&
               (own.store_answers || member.store_checked);
    });
    if (stronger != nullptr)
        return hand_over_decision{"weak", stronger->vm};
    const bool load_stalled = own.load_stalled >= max_load_stall(own.fitness.link_mbps);
    if (own.writes_stalled >= max_stall || load_stalled) {
        const auto* other = find([&own](const member_condition& member) {
            return member.loop_lag < max_loop_lag && (own.store_answers || member.store_checked);
        });
        if (other != nullptr)
            return hand_over_decision{
                own.writes_stalled >= max_stall ? "writes_stalled" : "load_stalled", other->vm};
    }
    if (own.since_change < lag_grace || own.loop_lag < max_loop_lag)
        return std::nullopt;
    const auto* less_delayed = find([&own](const member_condition& member) {
        return member.loop_lag * min_lag_ratio < own.loop_lag;
    });
    if (less_delayed == nullptr)
        return std::nullopt;
    return hand_over_decision{"slow", less_delayed->vm};
}

} // namespace verbenalever
