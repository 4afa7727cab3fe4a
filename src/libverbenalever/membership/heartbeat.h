#pragma once

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace verbenalever {

/// What an entry tells its peers about itself at each interval.
struct heartbeat {
    static constexpr const char* type = "heartbeat";

    std::string availability_zone;
    std::string http;              ///< "ADDRESS:PORT" for callers
    std::uint64_t incarnation = 0; ///< grows with each start of the process
    std::int64_t configuration_revision = 0;
    std::int64_t free_slots = 0;
    bool draining = false;

    MSGPACK_DEFINE_MAP(availability_zone, http, incarnation, configuration_revision, free_slots,
                       draining)
};

} // namespace verbenalever
