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

/// Responds to operators whose change is in force at this entry daemon: waits until it is stored
/// and in force at all entry daemons, and reports at which entry daemons it is in force.
class change_responder {
public:
    /// An accepted change: a stored revision or a restriction.
    struct change {
        std::int64_t revision = 0; ///< zero for a restriction
        std::string restriction;   ///< id of the restriction; empty for a stored revision
        std::string warning;       ///< included in the response; empty for none
    };

    change_responder(event_loop& loop, const entry_settings& settings,
                     const configuration_store& configuration,
                     const configuration_distributor& distributor, const peer_mesh& mesh);

    /// Respond when @p accepted is stored and in force at every entry daemon, or after @p wait.
    void respond_when_distributed(const change& accepted, milliseconds wait,
                                  http_responder respond);

private:
    /// A request that has not been responded to yet.
    struct pending_response {
        change accepted;
        monotonic_time deadline;
        http_responder respond;
    };

    /// The names of the entry daemons by state of a change.
    struct change_distribution {
        std::vector<std::string> in_force;
        std::vector<std::string> pending;     ///< alive, and has not confirmed the change
        std::vector<std::string> not_reached; ///< not alive, and has not confirmed the change
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
