#include "coordinator/step_placer.h"

#include "coordinator/fleet_target.h"

#include <algorithm>
#include <cmath>

namespace verbenalever {

namespace {

/// Targets named beyond the expected need, since how many are allowed varies.
constexpr double ask_margin = 1.4;
/// The same for tasks that need all their places at once: one place short, and the whole question
/// was for nothing. While it is answered, about a second, most room on a busy fleet changes hands.
constexpr double whole_ask_margin = 4;
constexpr std::size_t ask_extra = 2;
/// Targets named in one question, for which the advisor's time still pays.
constexpr std::size_t ask_limit = 40;
/// The same for tasks that need all their places at once: four questions put side by side.
constexpr std::size_t whole_ask_limit = 400;
/// With room for this many times the tasks it is worth asking whatever the experience says.
constexpr std::uint64_t ample_factor = 2;

} // namespace

step_placer::step_placer(std::vector<step_candidate> candidates, resources need)
    : candidates(std::move(candidates)), need(need)
{
    // Tightest first: small tasks fill gaps and leave whole targets to large ones.
    std::ranges::sort(this->candidates, {}, &step_candidate::free_processors_milli);
}

std::vector<fleet_target*> step_placer::place(std::uint32_t wanted, bool whole) const
{
    std::vector<fleet_target*> chosen;
    for (const auto& candidate : this->candidates) {
        if (candidate.advice_state != step_candidate::permission::allowed)
            continue;
        const auto take = std::min<std::size_t>(candidate.fits, wanted - chosen.size());
        chosen.insert(chosen.end(), take, candidate.target);
        if (chosen.size() == wanted)
            return chosen;
    }
    if (whole)
        chosen.clear();
    return chosen;
}

std::vector<fleet_target*> step_placer::place_with_renewal(std::uint32_t wanted) const
{
    std::vector<fleet_target*> chosen;
    // Largest room first: fewer targets to ask about.
    const std::vector<step_candidate> largest_first(this->candidates.rbegin(),
                                                    this->candidates.rend());
    for (const auto& candidate : largest_first) {
        if (candidate.advice_state == step_candidate::permission::not_asked)
            continue;
        const auto take = std::min<std::size_t>(candidate.fits, wanted - chosen.size());
        chosen.insert(chosen.end(), take, candidate.target);
        if (chosen.size() == wanted)
            return chosen;
    }
    return {};
}

std::vector<fleet_target*> step_placer::select_targets_to_ask(std::uint32_t wanted, bool whole,
                                                              double grant_rate) const
{
    double expected = 0;
    std::vector<const step_candidate*> open;
    for (const auto& candidate : this->candidates) {
        if (candidate.advice_state == step_candidate::permission::allowed)
            expected += candidate.fits;
        else
            open.push_back(&candidate);
    }
    if (whole && !this->can_fit(wanted, grant_rate))
        return {};
    // Those known to be allowed first, then those with most room.
    std::ranges::sort(open, [](const auto* left, const auto* right) {
        if (left->advice_state != right->advice_state)
            return left->advice_state == step_candidate::permission::ticket_expired;
        return left->fits > right->fits;
    });
    const double goal = wanted * (whole ? whole_ask_margin : ask_margin);
    std::vector<fleet_target*> named;
    std::size_t extra = ask_extra;
    const auto limit = whole ? whole_ask_limit : ask_limit;
    for (const auto* candidate : open) {
        if (named.size() >= limit)
            break;
        if (expected >= goal) {
            if (extra == 0 || candidate->advice_state == step_candidate::permission::ticket_expired)
                break;
            --extra;
        }
        const bool lapsed = candidate->advice_state == step_candidate::permission::ticket_expired;
        expected += std::min(candidate->fits, wanted) * (lapsed ? 1.0 : grant_rate);
        named.push_back(candidate->target);
    }
    return named;
}

bool step_placer::can_fit(std::uint32_t wanted, double grant_rate) const
{
    double expected = 0;
    std::uint64_t room = 0;
    for (const auto& candidate : this->candidates) {
        const auto fits = std::min(candidate.fits, wanted);
        const bool asked = candidate.advice_state != step_candidate::permission::not_asked;
        expected += fits * (asked ? 1.0 : grant_rate);
        room += fits;
    }
    return expected >= wanted || room >= wanted * ample_factor;
}

} // namespace verbenalever
