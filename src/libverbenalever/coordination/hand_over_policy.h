#pragma once

#include "coordination/vm_fitness.h"
#include "loop/clock.h"

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace verbenalever {

/// What the coordinator knows of itself when it decides whether to hand over.
struct coordinator_condition {
    vm_fitness fitness;
    bool paused = false;            ///< it handed over lately, and no successor is left
    milliseconds loop_lag{0};       ///< how late its event loop runs
    milliseconds since_change{0};   ///< since it was elected or last began a hand-over
    milliseconds writes_stalled{0}; ///< how long its transaction has had no answer
    milliseconds load_stalled{0};   ///< how long loading the stored state has made no progress
    bool store_answers = false;     ///< the store answers its other, small calls
};

/// What the coordinator knows of a connected member.
struct member_condition {
    std::string vm;
    vm_fitness fitness;
    milliseconds loop_lag{0};
    bool store_checked = false;  ///< the store has answered a call of it since this stall began
    bool can_coordinate = false; ///< it reaches the store and accepts a hand-over
};

/// A hand-over to be made.
struct hand_over_decision {
    std::string_view reason; ///< for the log: "weak", "writes_stalled", "load_stalled" or "slow"
    std::string member;      ///< a member that can take over
};

/// Decides when the coordinator hands over to another process. No clock, no connections.
///
/// A weak coordinator hands over as soon as a stronger member could take over, since all that it
/// does meanwhile is slow. One that makes no progress although the store answers it hands over to
/// any member. A late event loop is a reason only some time after the election, since a new
/// coordinator is busy at first and a hand-over costs time itself. After a hand-over there is none
/// for some time, so that two VMs do not hand over to each other in turn.
/// @return nothing while it goes on coordinating
[[nodiscard]] std::optional<hand_over_decision>
decide_hand_over(const coordinator_condition& own, std::span<const member_condition> members);

} // namespace verbenalever
