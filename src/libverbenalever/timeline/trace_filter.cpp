#include "timeline/trace_filter.h"

#include <algorithm>
#include <iterator>

namespace verbenalever {

namespace {

bool field_matches(const trace_event& event, std::string_view field, const std::string& expected)
{
    return expected.empty() || event.text(field) == expected;
}

} // namespace

bool trace_filter::matches(const trace_event& event) const
{
    const bool matches_job =
        field_matches(event, "job", this->job) || event.text("task").starts_with(this->job);
    const bool matches_target = field_matches(event, "target", this->target) ||
                                event.process == this->target || event.text("vm") == this->target;
    return matches_job && matches_target && field_matches(event, "task", this->task) &&
           field_matches(event, "request", this->request) &&
           field_matches(event, "team", this->team);
}

std::vector<trace_event> trace_filter::select(std::span<const trace_event> events) const
{
    std::vector<trace_event> selected;
    std::ranges::copy_if(events, std::back_inserter(selected),
                         [this](const trace_event& event) { return this->matches(event); });
    return selected;
}

} // namespace verbenalever
