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
    void enter(state next, milliseconds now)
    {
        if (next == state::run && this->repeated)
            next = state::run_again;
        this->spent[static_cast<std::size_t>(this->current)] += now - this->since;
        this->since = now;
        this->current = next;
    }

    /// A run of the step was for nothing.
    void mark_repeated()
    {
        this->repeated = true;
    }

    [[nodiscard]] state current_state() const
    {
        return this->current;
    }

    [[nodiscard]] bool waits_for_capacity() const
    {
        return this->current == state::processors || this->current == state::memory;
    }

    /// @return time spent in a state that has been left
    [[nodiscard]] milliseconds time_in(state which) const
    {
        return this->spent[static_cast<std::size_t>(which)];
    }

    /// @return the state as the log has it
    [[nodiscard]] static std::string_view log_name(state which)
    {
        static constexpr std::array<std::string_view, state_count> words = {
            "idle",   "queued",     "store_away", "team_limit", "advisor_busy",
            "advice", "processors", "memory",     "run",        "run_again"};
        return words[static_cast<std::size_t>(which)];
    }

private:
    std::array<milliseconds, state_count> spent{};
    state current = state::idle;
    milliseconds since{0}; ///< boot time
    bool repeated = false;
};

} // namespace verbenalever
