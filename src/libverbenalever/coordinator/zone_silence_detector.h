#pragma once

#include "loop/clock.h"

#include <map>
#include <string>
#include <string_view>

namespace verbenalever {

/// Detects that no target of an availability zone answers any more, for example because the zone is
/// cut off, long before each of its targets has missed an answer.
///
/// Single silent targets are no sign of it: a zone counts as silent when several of its targets
/// have missed answers since any of them has answered.
class zone_silence_detector {
public:
    /// Record that a target of the zone has answered at @p now (time since boot).
    void record_answer(std::string_view availability_zone, milliseconds now);

    /// Record that a target of the zone that answered before has missed an answer.
    void record_missed_answer(std::string_view availability_zone);

    /// @return whether the targets of the zone that have not missed an answer yet are unlikely to
    /// answer either
    [[nodiscard]] bool is_silent(std::string_view availability_zone, milliseconds now) const;

    /// @return whether targets of the zone have missed so many answers that it may be silent: its
    /// other targets have to be asked, since only an answer ends this
    [[nodiscard]] bool is_suspected(std::string_view availability_zone) const;

    /// @return whether any zone is suspected
    [[nodiscard]] bool any_suspected() const
    {
        return this->suspected_zones > 0;
    }

private:
    struct zone_state {
        milliseconds last_answer_at{0}; ///< time since boot
        int missed_answers = 0;         ///< since the last answer
    };

    std::map<std::string, zone_state, std::less<>> zones;
    int suspected_zones = 0; ///< zones with enough missed answers, which may be silent
};

} // namespace verbenalever
