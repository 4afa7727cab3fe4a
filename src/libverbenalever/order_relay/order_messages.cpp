#include "order_relay/order_messages.h"

namespace verbenalever {

relayed_order_header header_of(const target_life& target, const order_authority& authority,
                               milliseconds timeout)
{
    return {.target = target.name,
            .born_ms = target.born_ms,
            .address = target.address.text(),
            .fencing_token = authority.fencing_token,
            .lease_until_ms = authority.lease_until_ms,
            .timeout_ms = timeout.count(),
            .sent_ms = boot_time().count(),
            .term = authority.term};
}

relayed_task relayed_task_of(const task_name& task)
{
    return {task.workflow, task.occurrence, task.step, task.index};
}

task_name task_of(const relayed_task& task)
{
    return {task.workflow, task.occurrence, task.step, task.index};
}

relayed_result relayed_result_of(const order_result& result)
{
    return {static_cast<int>(result.how), result.clock_ms};
}

order_result result_of(const relayed_result& result)
{
    constexpr int last = static_cast<int>(order_result::outcome::unknown);
    if (result.how < 0 || result.how > last)
        return {};
    return {.how = static_cast<order_result::outcome>(result.how), .clock_ms = result.clock_ms};
}

relayed_view relayed_view_of(const target_view& view)
{
    relayed_view packed{.result = relayed_result_of(view.result)};
    packed.more_ends = view.more_ends;
    packed.running.reserve(view.running.size());
    for (const auto& row : view.running)
        packed.running.push_back({relayed_task_of(row.task), row.run, row.checkpoint, row.percent});
    packed.ended.reserve(view.ended.size());
    for (const auto& ended_task : view.ended)
        packed.ended.push_back({ended_task.number, relayed_task_of(ended_task.task), ended_task.run,
                                static_cast<int>(ended_task.how), ended_task.checkpoint});
    return packed;
}

target_view view_of(const relayed_view& view)
{
    constexpr int last = static_cast<int>(target_view::ending::unrecognised);
    target_view read{.result = result_of(view.result)};
    read.more_ends = view.more_ends;
    read.running.reserve(view.running.size());
    for (const auto& row : view.running)
        read.running.push_back({task_of(row.task), row.run, row.checkpoint, row.percent});
    read.ended.reserve(view.ended.size());
    for (const auto& ended_task : view.ended) {
        const bool in_range = ended_task.how >= 0 && ended_task.how <= last;
        read.ended.push_back({ended_task.number, task_of(ended_task.task), ended_task.run,
                              in_range ? static_cast<target_view::ending>(ended_task.how)
                                       : target_view::ending::unrecognised,
                              ended_task.checkpoint});
    }
    return read;
}

} // namespace verbenalever
