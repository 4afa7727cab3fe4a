#pragma once

#include "http/http_server.h"
#include "loop/timer.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <list>
#include <string>

namespace verbenalever {

class configuration_distributor;
class configuration_store;
class peer_mesh;
struct entry_settings;

/// Answers operators whose change is in force here: tells where else it is, and waits for that.
class change_responder {
public:
    /// A change to tell about: a kept revision, a restriction, or both.
    struct change {
        std::int64_t revision = 0; ///< zero for a restriction that is not kept
        std::string restriction;   ///< id; empty for a plain revision
        std::string warning;       ///< what the operator should look at; empty for nothing
    };

    change_responder(event_loop& loop, const entry_settings& settings,
                     const configuration_store& configuration,
                     const configuration_distributor& distributor, const peer_mesh& mesh);

    /// Respond once @p accepted is kept and in force at every entry, or after @p wait.
    void respond_when_distributed(const change& accepted, milliseconds wait,
                                  http_responder respond);

private:
    /// An operator who waits.
    struct pending_response {
        change accepted;
        monotonic_time deadline;
        http_responder respond;
    };

    /// Where a change is in force.
    struct change_distribution {
        std::vector<std::string> in_force;
        std::vector<std::string> pending;     ///< alive, and has not said that it has it
        std::vector<std::string> not_reached; ///< silent
    };

    void check();
    [[nodiscard]] bool is_stored(const change& accepted) const;
    [[nodiscard]] change_distribution find_distribution(const change& accepted) const;
    [[nodiscard]] http_response make_response(const change& accepted,
                                              const change_distribution& distribution) const;

    const entry_settings& settings;
    const configuration_store& configuration;
    const configuration_distributor& distributor;
    const peer_mesh& mesh;
    std::list<pending_response> pending_responses;
    timer check_timer;
};

} // namespace verbenalever
