#pragma once

#include "loop/clock.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace verbenalever {

/// Measures how long one step spends in each state, from when it is ready until it ends.
///
/// A step is in one state at a time, so the times add up to the total. A step with a task that
/// waits for a target is in a waiting state even while its other tasks run.
class step_time_tracker {
public:
    enum class state : std::uint8_t {
        idle,         ///< waits for earlier steps, or has ended
        queued,       ///< ready, but no scheduling pass has handled it yet
        store_away,   ///< the store has not confirmed recently that this process is coordinator
        team_limit,   ///< its team's limit is used up
        advisor_busy, ///< waits before it asks the advisor again: no VM was free, or the last
                      ///< question got no answer
        advice,       ///< a question to the advisor is open
        processors,   ///< allowed targets have too few free processors
        memory,       ///< allowed targets have enough processors but too little memory
        run,          ///< all of its tasks are placed on targets
        run_again,    ///< like run, after a run of it was lost or has failed
    };
    static constexpr std::size_t state_count = 10;

    /// Changes to @p next_state at @p now (time since boot).
    void enter(state next_state, milliseconds now)
    {
        if (next_state == state::run && this->previous_run_unsuccessful)
            next_state = state::run_again;
        this->time_by_state[static_cast<std::size_t>(this->present_state)] +=
            now - this->entered_at;
        this->entered_at = now;
        this->present_state = next_state;
    }

    /// Records that a run was lost or has failed: further runs count as run_again.
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

    /// @return total time in a state; does not include the time since the last call of enter()
    [[nodiscard]] milliseconds time_in(state wanted) const
    {
        return this->time_by_state[static_cast<std::size_t>(wanted)];
    }

    /// @return the state's name in the log
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
    milliseconds entered_at{0}; ///< time since boot at which it entered present_state
    bool previous_run_unsuccessful = false;
};

} // namespace verbenalever
