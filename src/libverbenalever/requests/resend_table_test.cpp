#include "requests/resend_table.h"

#include <gtest/gtest.h>

#include <string>

namespace verbenalever {
namespace {

const auto start = monotonic_time(std::chrono::hours(1));

request_answer answer(attempt_outcome outcome, std::string body)
{
    return {.outcome = outcome, .response = {.status = 200, .body = std::move(body)}};
}

TEST(resend_table, a_resend_joins_the_one_in_progress_and_later_gets_its_answer)
{
    resend_table table;
    std::string got;
    const request_responder respond = [&got](const request_answer& a) { got += a.response.body; };
    EXPECT_TRUE(table.begin("team/1", respond, start));
    EXPECT_FALSE(table.begin("team/1", respond, start));
    EXPECT_EQ(got, "");
    table.finish("team/1", answer(attempt_outcome::answered, "x"), start);
    EXPECT_EQ(got, "x");
    EXPECT_FALSE(table.begin("team/1", respond, start));
    EXPECT_EQ(got, "xx");
}

TEST(resend_table, what_did_not_run_may_begin_again_under_another_writer)
{
    resend_table table;
    const request_responder respond = [](const request_answer&) {};
    EXPECT_TRUE(table.begin("team/1", respond, start));
    const auto writer = table.writer("team/1");
    table.finish("team/1", answer(attempt_outcome::not_run, ""), start);
    EXPECT_TRUE(table.begin("team/1", respond, start));
    EXPECT_NE(table.writer("team/1"), writer);
    EXPECT_EQ(table.writer("team/1").substr(0, writer.rfind('.')),
              writer.substr(0, writer.rfind('.')));
}

TEST(resend_table, memory_is_bounded_by_time_and_by_bytes)
{
    resend_table table;
    const request_responder respond = [](const request_answer&) {};
    for (int request = 0; request < 100; ++request) {
        const auto key = std::to_string(request);
        EXPECT_TRUE(table.begin(key, respond, start));
        table.finish(key, answer(attempt_outcome::answered, std::string(1U << 20U, 'x')), start);
    }
    EXPECT_LE(table.size(), 4U);
    table.expire(start + std::chrono::minutes(2));
    EXPECT_EQ(table.size(), 0U);
}

} // namespace
} // namespace verbenalever
