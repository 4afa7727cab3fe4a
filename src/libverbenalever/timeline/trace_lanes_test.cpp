#include "timeline/trace_lanes.h"

#include "timeline/trace_filter.h"
#include "timeline/trace_reader.h"
#include "timeline/trace_svg.h"
#include "timeline/trace_text.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <filesystem>
#include <fstream>
#include <unistd.h>

namespace {

using verbenalever::trace_event;
using verbenalever::trace_filter;
using verbenalever::trace_lanes;

trace_event make_event(std::int64_t at_us, const char* process, const char* name,
                       nlohmann::json fields)
{
    return {.mono_us = at_us, .process = process, .event = name, .fields = std::move(fields)};
}

std::vector<trace_event> two_runs()
{
    return {make_event(10, "t1", "request_running", {{"request", "a"}, {"team", "red"}}),
            make_event(20, "t1", "request_running", {{"request", "b"}, {"team", "blue"}}),
            make_event(30, "t1", "request_ended", {{"request", "a"}}),
            make_event(40, "t1", "request_running", {{"request", "c"}, {"team", "red"}}),
            make_event(50, "t1", "killed", {}),
            make_event(60, "e<1>", "stopped", {})};
}

TEST(trace_lanes, packs_runs_into_rows_and_ends_them_at_a_kill)
{
    const trace_lanes lanes(two_runs());
    ASSERT_EQ(lanes.all().size(), 2U);
    const auto& lane = lanes.all()[1];
    ASSERT_EQ(lane.bars.size(), 3U);
    EXPECT_EQ(lane.rows, 2U);
    EXPECT_EQ(lane.bars[0].end_us, 30);
    EXPECT_EQ(lane.bars[1].end_us, 50);
    EXPECT_EQ(lane.bars[2].row, 0U);
    ASSERT_EQ(lane.marks.size(), 1U);
    EXPECT_TRUE(lane.marks[0].fault);
    EXPECT_EQ(lanes.span_us(), 50);
}

TEST(trace_svg, escapes_process_names)
{
    const auto svg = verbenalever::trace_svg(two_runs());
    EXPECT_NE(svg.find("e&lt;1&gt;"), std::string::npos);
    EXPECT_EQ(svg.find("e<1>"), std::string::npos);
}

TEST(trace_filter, selects_events_that_match_all_members)
{
    const auto events = two_runs();
    EXPECT_EQ(trace_filter{}.select(events).size(), events.size());
    const trace_filter red{.team = "red"};
    EXPECT_EQ(red.select(events).size(), 2U);
    const trace_filter one{.request = "a", .target = "t1"};
    EXPECT_EQ(one.select(events).size(), 2U);
    const trace_filter none{.task = "a"};
    EXPECT_TRUE(none.select(events).empty());
}

RC_GTEST_PROP(trace_reader, reads_events_and_skips_invalid_lines, (const std::string& garbage))
{
    const auto path = std::filesystem::temp_directory_path() /
                      ("verbenalever-trace-" + std::to_string(::getpid()));
    std::ofstream(path) << garbage << "\n{\"event\": 3, \"mono_us\": \"x\"}\n"
                        << "{\"event\":\"started\",\"mono_us\":5,\"process\":\"p\"}\n{\"event";
    const auto events = verbenalever::read_trace(std::vector<std::string>{path.string()});
    std::filesystem::remove(path);
    RC_ASSERT(events.ok());
    RC_ASSERT(events->back().event == "started");
    RC_ASSERT(!verbenalever::trace_text(*events).empty());
    RC_ASSERT(!verbenalever::trace_svg(*events).empty());
}

} // namespace
