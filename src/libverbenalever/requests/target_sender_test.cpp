#include "requests/target_sender.h"

#include "requests/request_work.h"

#include <gtest/gtest.h>

namespace verbenalever {
namespace {

attempt_result classify(http_result result)
{
    return target_sender::classify(request_work{.id = "req-1"}, std::move(result));
}

TEST(target_sender, an_answer_of_any_status_is_passed_on)
{
    for (const int status : {200, 404, 409, 500, 503}) {
        const auto result = classify({.may_have_been_sent = true, .status = status, .body = "x"});
        EXPECT_EQ(result.outcome, attempt_outcome::answered);
        EXPECT_EQ(result.response.status, status);
        EXPECT_EQ(result.response.body, "x");
        EXPECT_EQ(result.failed(), status >= 500);
    }
}

TEST(target_sender, only_a_start_refusal_of_the_target_means_not_run)
{
    const http_result refusal{
        .may_have_been_sent = true, .status = 409, .body = R"({"reason":"epoch_too_old"})"};
    EXPECT_EQ(classify(refusal).outcome, attempt_outcome::not_run);
    const http_result answer{
        .may_have_been_sent = true, .status = 409, .body = R"({"reason":"sold_out"})"};
    EXPECT_EQ(classify(answer).outcome, attempt_outcome::answered);
}

TEST(target_sender, without_an_answer_the_outcome_depends_on_whether_bytes_may_have_been_sent)
{
    const auto lost = absl::UnavailableError("lost");
    EXPECT_EQ(classify({.transport = lost, .may_have_been_sent = false}).outcome,
              attempt_outcome::not_run);
    EXPECT_EQ(classify({.transport = lost, .may_have_been_sent = true}).outcome,
              attempt_outcome::unknown);
    const auto late =
        classify({.transport = absl::DeadlineExceededError("late"), .may_have_been_sent = true});
    EXPECT_EQ(late.outcome, attempt_outcome::unknown);
    EXPECT_TRUE(late.timed_out);
}

} // namespace
} // namespace verbenalever
