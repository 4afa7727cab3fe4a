#pragma once

#include "http/http_server.h"
#include "loop/timer.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <list>
#include <string>

namespace verbenalever {

class configuration_spread;
class configuration_store;
class peer_mesh;
struct entry_settings;

/// Answers operators whose change is in force here: tells where else it is, and waits for that.
class acceptance {
public:
    /// A change to tell about: a kept revision, a restriction, or both.
    struct change {
        std::int64_t revision = 0; ///< zero for a restriction that is not kept
        std::string restriction;   ///< id; empty for a plain revision
        std::string warning;       ///< what the operator should look at; empty for nothing
    };

    acceptance(event_loop& loop, const entry_settings& settings,
               const configuration_store& configuration, const configuration_spread& spread,
               const peer_mesh& mesh);

    /// Respond once @p accepted is kept and in force at every entry, or after @p wait.
    void respond_when_spread(const change& accepted, milliseconds wait, http_responder respond);

private:
    /// An operator who waits.
    struct waiter {
        change accepted;
        monotonic_time until;
        http_responder respond;
    };

    /// Where a change is in force.
    struct reach {
        std::vector<std::string> in_force;
        std::vector<std::string> pending;     ///< alive, and has not said that it has it
        std::vector<std::string> not_reached; ///< silent
    };

    void check();
    [[nodiscard]] bool kept(const change& accepted) const;
    [[nodiscard]] reach reach_of(const change& accepted) const;
    [[nodiscard]] http_response answer(const change& accepted, const reach& where) const;

    const entry_settings& settings;
    const configuration_store& configuration;
    const configuration_spread& spread;
    const peer_mesh& mesh;
    std::list<waiter> waiters;
    timer check_timer;
};

} // namespace verbenalever
