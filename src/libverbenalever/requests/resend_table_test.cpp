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

TEST(resend_table, a_resend_joins_a_request_in_progress_or_gets_its_stored_answer)
{
    resend_table table;
    std::string received;
    const request_responder respond = [&received](const request_answer& a) {
        received += a.response.body;
    };
    EXPECT_TRUE(table.begin_or_join("team/1", respond, start));
    EXPECT_FALSE(table.begin_or_join("team/1", respond, start));
    EXPECT_EQ(received, "");
    table.finish("team/1", answer(attempt_outcome::answered, "x"), start);
    EXPECT_EQ(received, "x");
    EXPECT_FALSE(table.begin_or_join("team/1", respond, start));
    EXPECT_EQ(received, "xx");
}

TEST(resend_table, a_request_that_did_not_run_begins_again_with_another_claim_writer)
{
    resend_table table;
    const request_responder respond = [](const request_answer&) {};
    EXPECT_TRUE(table.begin_or_join("team/1", respond, start));
    const auto claim_writer = table.claim_writer("team/1");
    table.finish("team/1", answer(attempt_outcome::not_run, ""), start);
    EXPECT_TRUE(table.begin_or_join("team/1", respond, start));
    EXPECT_NE(table.claim_writer("team/1"), claim_writer);
    EXPECT_EQ(table.claim_writer("team/1").substr(0, claim_writer.rfind('.')),
              claim_writer.substr(0, claim_writer.rfind('.')));
}

TEST(resend_table, entries_are_dropped_by_age_and_by_size)
{
    resend_table table;
    const request_responder respond = [](const request_answer&) {};
    for (int request = 0; request < 100; ++request) {
        const auto key = std::to_string(request);
        EXPECT_TRUE(table.begin_or_join(key, respond, start));
        table.finish(key, answer(attempt_outcome::answered, std::string(1U << 20U, 'x')), start);
    }
    EXPECT_LE(table.size(), 4U);
    table.expire(start + std::chrono::minutes(2));
    EXPECT_EQ(table.size(), 0U);
}

} // namespace
} // namespace verbenalever
