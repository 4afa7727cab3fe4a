#include "workflows/workflow_spec.h"

#include <fmt/format.h>

namespace verbenalever {

namespace {

absl::Status validate_step(const step_spec& step, std::size_t number)
{
    if (step.count == 0)
        return absl::InvalidArgumentError(fmt::format("step {} has no tasks", number));
    if (step.need.processors_milli < 0 || step.need.memory_mb < 0 || step.need.accelerators < 0)
        return absl::InvalidArgumentError(
            fmt::format("step {} needs a negative amount of a resource", number));
    // Refused, since such a step would otherwise run once like any other.
    if (step.long_running || step.fills)
        return absl::UnimplementedError(fmt::format(
            "step {} is long-running or fills idle capacity, which is not supported", number));
    for (const auto earlier : step.after) {
        if (earlier >= number)
            return absl::InvalidArgumentError(fmt::format(
                "step {} depends on step {}, which is not an earlier step", number, earlier));
    }
    return absl::OkStatus();
}

} // namespace

absl::Status workflow_spec::validate() const
{
    if (this->payload.size() > max_payload_bytes)
        return absl::InvalidArgumentError("the payload is too long");
    if (this->occurrences != 0)
        return absl::UnimplementedError("recurring workflows are not supported");
    if (this->steps.empty() || this->steps.size() > max_steps)
        return absl::InvalidArgumentError(
            fmt::format("a workflow must have 1 to {} steps", max_steps));
    std::uint64_t tasks = 0;
    for (std::size_t number = 0; number < this->steps.size(); ++number) {
        if (auto status = validate_step(this->steps[number], number); !status.ok())
            return status;
        tasks += this->steps[number].count;
    }
    if (tasks > max_tasks)
        return absl::InvalidArgumentError(
            fmt::format("the workflow has more than {} tasks", max_tasks));
    return absl::OkStatus();
}

} // namespace verbenalever
