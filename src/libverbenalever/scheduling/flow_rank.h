#pragma once

#include <cstdint>

namespace verbenalever {

/// Where a flow stands in an order; lower goes first.
struct flow_rank {
    int level = 0;
    double value = 0;
    std::uint64_t sequence = 0; ///< of the flow's first piece of work

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
