#pragma once

#include <string_view>

namespace verbenalever {

/// State of a workflow, as callers see it.
enum class workflow_state { queued, running, completed, failed, cancelled };

/// @return whether the workflow has ended for good
[[nodiscard]] constexpr bool is_final(workflow_state state)
{
    return state == workflow_state::completed || state == workflow_state::failed ||
           state == workflow_state::cancelled;
}

/// @return the name of the state, for logs and replies
[[nodiscard]] constexpr std::string_view state_name(workflow_state state)
{
    switch (state) {
    case workflow_state::queued:
        return "queued";
    case workflow_state::running:
        return "running";
    case workflow_state::completed:
        return "completed";
    case workflow_state::failed:
        return "failed";
    case workflow_state::cancelled:
        return "cancelled";
    }
    return "queued";
}

} // namespace verbenalever
