#pragma once

#include "loop/clock.h"
#include "loop/timer.h"

namespace verbenalever {

class event_loop;

/// Tells whether this process has lately stood still: frozen, suspended, or without a processor.
/// What it reads then may have waited for it, and permissions may have run out meanwhile.
class pause_detector {
public:
    explicit pause_detector(event_loop& loop);

    /// @return whether a pause has ended within pause_memory, or is ending now
    [[nodiscard]] bool paused_lately() const;

    /// A loop that turns more rarely than this has been paused: well above the lateness at which a
    /// coordinator hands over (150 ms), below the silence that ends a connection (1,050 ms).
    static constexpr milliseconds longest_turn{700};
    /// What waited during a pause is read within this time: some turns of the loop.
    static constexpr milliseconds pause_memory{500};

private:
    void tick();

    timer ticks;
    milliseconds last_tick;           ///< boot time
    milliseconds distrusted_until{0}; ///< boot time
};

} // namespace verbenalever
