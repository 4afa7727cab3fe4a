#pragma once

#include "scheduling/resources.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace verbenalever {

/// Usage of one team on the sender's targets. Packed as an array without field names, because a
/// message may contain hundreds of them.
struct team_usage_entry {
    std::string team;
    std::int64_t slots = 0;
    std::int64_t processors_milli = 0; ///< thousandths of a processor
    std::int64_t memory_mb = 0;        ///< megabytes
    std::int64_t accelerators = 0;

    [[nodiscard]] resources amounts() const
    {
        return {.slots = this->slots,
                .processors_milli = this->processors_milli,
                .memory_mb = this->memory_mb,
                .accelerators = this->accelerators};
    }

    MSGPACK_DEFINE_ARRAY(team, slots, processors_milli, memory_mb, accelerators)
};

} // namespace verbenalever
