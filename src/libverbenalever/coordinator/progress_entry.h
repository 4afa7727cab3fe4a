#pragma once

#include <msgpack.hpp>

#include <cstdint>
#include <string>

namespace verbenalever {

/// The result of one ended run, as stored.
struct progress_entry {
    enum class ending : int {
        done = 0,
        failed = 1,
        other = 2, ///< unknown values, which later builds may store, are treated like this one
        // The run went with its target; see crash_evidence.
        crashed_bystander = 3,
        crashed_unconfirmed = 4,
        crashed_suspect = 5,
        crashed_sole_suspect = 6,
        crashed_unanswered = 7,
        outlived_start = 8, ///< see crash_history::discount()
    };

    std::string workflow;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    std::int64_t run = 0;
    int how = 0;                     ///< value of an ending
    std::string checkpoint;          ///< latest checkpoint that the run has saved; empty: none
    std::string target;              ///< that crashed; earlier builds do not store it
    std::int64_t target_born_ms = 0; ///< the life of that target

    MSGPACK_DEFINE(workflow, step, index, run, how, checkpoint, target, target_born_ms)
};

} // namespace verbenalever
