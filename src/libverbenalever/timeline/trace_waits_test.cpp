#include "timeline/trace_waits.h"

#include <gtest/gtest.h>

#include <vector>

namespace verbenalever {
namespace {

trace_event workflow_ended(const char* queue, std::int64_t took, nlohmann::json fields)
{
    fields["queue"] = queue;
    fields["state"] = "completed";
    fields["took_ms"] = took;
    fields["objective_ms"] = 1000;
    return {.event = "workflow_ended", .fields = std::move(fields)};
}

TEST(trace_waits, causes_and_unaccounted_time_add_up_to_the_time_taken)
{
    const std::vector<trace_event> events{
        workflow_ended("quotes", 2000, {{"run_ms", 1000}, {"advice_ms", 500}}),
        workflow_ended("quotes", 2000, {{"run_ms", 1000}, {"advice_ms", 300}}),
        workflow_ended("quotes", 9000, {{"memory_ms", 9000}})};
    const auto text = trace_waits(events);
    EXPECT_NE(text.find("quotes              late         2     2000          0          0"
                        "          0          0          0         20          0          0"
                        "         50          0          0         30\n"),
              std::string::npos)
        << text;
    EXPECT_NE(text.find("quotes              useless      1     9000"), std::string::npos) << text;
}

TEST(trace_waits, ignores_other_events_and_workflows_that_did_not_complete)
{
    auto failed = workflow_ended("quotes", 2000, {});
    failed.fields["state"] = "failed";
    trace_event other{.event = "load"};
    const std::vector<trace_event> events{failed, other};
    EXPECT_EQ(trace_waits(events).find("quotes"), std::string::npos);
}

} // namespace
} // namespace verbenalever
