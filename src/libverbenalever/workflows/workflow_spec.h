#pragma once

#include "workflows/step_spec.h"

#include <absl/status/status.h>
#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace verbenalever {

/// The work that a caller submits: steps of tasks, run once or at regular times.
struct workflow_spec {
    std::string payload; ///< passed to each task unchanged
    std::vector<step_spec> steps;
    std::int64_t occurrences = 0;  ///< 0: runs once, immediately
    std::int64_t first_due_ms = 0; ///< of occurrence 0, milliseconds since the Unix epoch
    std::int64_t interval_ms = 0;  ///< from one occurrence to the next

    static constexpr std::size_t max_payload_bytes = 4000; ///< limit of the callers' interface
    /// Keeps a workflow's record below the size limit of a value in the store.
    static constexpr std::size_t max_steps = 64;
    static constexpr std::uint32_t max_tasks = 10'000; ///< of all steps, for the same reason

    /// @return INVALID_ARGUMENT with the first fault found; UNIMPLEMENTED for a kind of work that
    ///         is defined but not supported
    [[nodiscard]] absl::Status validate() const;

    MSGPACK_DEFINE(payload, steps, occurrences, first_due_ms, interval_ms)
};

} // namespace verbenalever
