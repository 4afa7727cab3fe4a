#pragma once

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace verbenalever {

/// The result of one ended run, as stored.
struct progress_entry {
    enum class ending : int { done = 0, failed = 1, other = 2 };

    std::string workflow;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    std::int64_t run = 0;
    int how = 0;            ///< value of an ending
    std::string checkpoint; ///< latest checkpoint that the run has saved; empty: none

    MSGPACK_DEFINE(workflow, step, index, run, how, checkpoint)
};

} // namespace verbenalever
