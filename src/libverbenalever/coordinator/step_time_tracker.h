#pragma once

#include "loop/clock.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace verbenalever {

/// Where the time of one step goes, from its turn to its end.
///
/// A step is in one state at a time, so that the times add up to the whole. A step with one task
/// still waiting counts as waiting, whatever its other tasks do.
class step_time_tracker {
public:
    enum class state : std::uint8_t {
        idle,         ///< its turn has not come, or it has ended
        queued,       ///< not considered yet
        store_away,   ///< nothing may start: the store has not confirmed this coordinator lately
        team_limit,   ///< its team may have no more running
        advisor_busy, ///< no VM was free to ask the advisor
        advice,       ///< a question to the advisor is open
        processors,   ///< no target that may run it has enough processors free
        memory,       ///< some have, but too little memory
        run,          ///< all of its tasks have a place
        run_again,    ///< the same, after a run of it was lost or has failed
    };
    static constexpr std::size_t state_count = 10;

    /// The step is in @p next from @p now (boot time) on.
    void enter(state next_state, milliseconds now)
    {
        if (next_state == state::run && this->previous_run_unsuccessful)
            next_state = state::run_again;
        this->time_by_state[static_cast<std::size_t>(this->present_state)] +=
            now - this->entered_at;
        this->entered_at = now;
        this->present_state = next_state;
    }

    /// A run of the step was for nothing.
    void mark_run_unsuccessful()
    {
        this->previous_run_unsuccessful = true;
    }

    [[nodiscard]] state current_state() const
    {
        return this->present_state;
    }

    [[nodiscard]] bool waits_for_capacity() const
    {
        return this->present_state == state::processors || this->present_state == state::memory;
    }

    /// @return time spent in a state that has been left
    [[nodiscard]] milliseconds time_in(state wanted) const
    {
        return this->time_by_state[static_cast<std::size_t>(wanted)];
    }

    /// @return the state as the log has it
    [[nodiscard]] static std::string_view log_name(state wanted)
    {
        static constexpr std::array<std::string_view, state_count> names = {
            "idle",   "queued",     "store_away", "team_limit", "advisor_busy",
            "advice", "processors", "memory",     "run",        "run_again"};
        return names[static_cast<std::size_t>(wanted)];
    }

private:
    std::array<milliseconds, state_count> time_by_state{};
    state present_state = state::idle;
    milliseconds entered_at{0}; ///< boot time
    bool previous_run_unsuccessful = false;
};

} // namespace verbenalever
