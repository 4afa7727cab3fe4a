#pragma once

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace verbenalever {

/// What one end of a run has told for good.
struct progress_entry {
    enum class ending : int { done = 0, failed = 1, other = 2 };

    std::string workflow;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    std::int64_t run = 0;
    int how = 0;            ///< an ending
    std::string checkpoint; ///< empty: there is none

    MSGPACK_DEFINE(workflow, step, index, run, how, checkpoint)
};

} // namespace verbenalever
