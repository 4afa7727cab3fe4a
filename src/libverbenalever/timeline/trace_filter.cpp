#include "timeline/trace_filter.h"

#include <algorithm>
#include <iterator>

namespace verbenalever {

namespace {

bool is(const trace_event& event, std::string_view field, const std::string& wanted)
{
    return wanted.empty() || event.text(field) == wanted;
}

} // namespace

bool trace_filter::wants(const trace_event& event) const
{
    const bool of_job = is(event, "job", this->job) || event.text("task").starts_with(this->job);
    const bool of_target = is(event, "target", this->target) || event.process == this->target ||
                           event.text("vm") == this->target;
    return of_job && of_target && is(event, "task", this->task) &&
           is(event, "request", this->request) && is(event, "team", this->team);
}

std::vector<trace_event> trace_filter::select(std::span<const trace_event> events) const
{
    std::vector<trace_event> wanted;
    std::ranges::copy_if(events, std::back_inserter(wanted),
                         [this](const trace_event& event) { return this->wants(event); });
    return wanted;
}

} // namespace verbenalever
