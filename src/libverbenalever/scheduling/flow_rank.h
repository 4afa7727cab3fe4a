#pragma once

#include <cstdint>

namespace verbenalever {

/// Position of a flow in an order. Compared by level, then value, then sequence; lower goes first.
struct flow_rank {
    int level = 0;              ///< e.g. the queue's priority
    double value = 0;           ///< e.g. the team's weighted share or a time in seconds
    std::uint64_t sequence = 0; ///< arrival number of the flow's first piece of work

    friend bool operator<(const flow_rank& left, const flow_rank& right)
    {
        if (left.level != right.level)
            return left.level < right.level;
        if (left.value != right.value)
            return left.value < right.value;
        return left.sequence < right.sequence;
    }
};

} // namespace verbenalever
