#pragma once

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace verbenalever {

/// State of an entry daemon, sent to all its peers at each heartbeat interval.
struct heartbeat {
    static constexpr const char* type = "heartbeat";

    std::string availability_zone;
    std::string http;              ///< "ADDRESS:PORT" that callers connect to
    std::string peer;              ///< "ADDRESS:PORT" that other entry daemons connect to
    std::uint64_t incarnation = 0; ///< grows with each start of the process
    std::int64_t configuration_revision = 0;
    std::int64_t free_slots = 0;
    bool draining = false;
    /// Wall clock of the VM that read the platform's VM list, just before it requested it.
    std::int64_t vm_list_read_at_us = 0;
    std::uint64_t vm_list_digest = 0; ///< digest of the VM list's text; 0: no list

    MSGPACK_DEFINE_MAP(availability_zone, http, peer, incarnation, configuration_revision,
                       free_slots, draining, vm_list_read_at_us, vm_list_digest)
};

} // namespace verbenalever
