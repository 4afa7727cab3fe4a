#include "http/body_budget.h"

#include <gtest/gtest.h>

namespace verbenalever {
namespace {

using std::chrono::seconds;

class body_budget_test : public testing::Test {
protected:
    void connect(body_budget::connection_id id, std::string_view address = "10.0.0.1")
    {
        this->budget.open(id, address, this->now);
        this->budget.start_body(id, this->now);
    }

    body_budget::verdict reserve(body_budget::connection_id id, std::size_t bytes)
    {
        return this->budget.reserve(id, bytes, this->now);
    }

    monotonic_time now{seconds(100)};
    body_budget budget{{.small_body_bytes = 10,
                        .small_bytes = 100,
                        .large_bytes = 1'000,
                        .connections = 20,
                        .no_progress = seconds(10),
                        .whole_body = seconds(60),
                        .no_request = seconds(20)}};
};

TEST_F(body_budget_test, refuses_what_does_not_fit_while_all_others_make_progress)
{
    this->connect(1);
    this->connect(2, "10.0.0.2");
    EXPECT_TRUE(this->reserve(1, 700).granted);
    EXPECT_FALSE(this->reserve(2, 400).granted);
    EXPECT_TRUE(this->budget.is_ended(2));
    EXPECT_EQ(this->budget.bytes(), 700U);
}

TEST_F(body_budget_test, ends_the_body_that_has_been_without_progress_for_longest)
{
    for (const body_budget::connection_id id : {1, 2, 3})
        this->connect(id, id == 2 ? "10.0.0.2" : "10.0.0.1");
    for (const body_budget::connection_id id : {1, 2, 3})
        EXPECT_TRUE(this->reserve(id, 300).granted);
    this->now += seconds(1);
    this->budget.receive(1, 2'000, this->now);
    this->now += seconds(1);
    this->connect(4, "10.0.0.3");
    const auto result = this->reserve(4, 300);
    EXPECT_TRUE(result.granted);
    EXPECT_EQ(result.ended, std::vector<body_budget::connection_id>{2});
    EXPECT_EQ(this->budget.bytes(), 900U);
}

TEST_F(body_budget_test, small_bodies_are_served_beside_large_ones)
{
    this->connect(1);
    this->connect(2, "10.0.0.2");
    this->connect(3);
    EXPECT_TRUE(this->reserve(1, 700).granted);
    EXPECT_TRUE(this->reserve(2, 300).granted);
    EXPECT_TRUE(this->reserve(3, 10).granted);
}

TEST_F(body_budget_test, one_address_cannot_use_all_memory)
{
    this->connect(1);
    this->connect(2);
    this->connect(3, "10.0.0.2");
    EXPECT_TRUE(this->reserve(1, 700).granted);
    EXPECT_FALSE(this->reserve(2, 100).granted);
    EXPECT_TRUE(this->reserve(3, 300).granted);
}

TEST_F(body_budget_test, a_request_that_is_handled_is_not_ended)
{
    this->connect(1);
    EXPECT_TRUE(this->reserve(1, 700).granted);
    this->budget.finish_body(1);
    this->now += seconds(100);
    EXPECT_TRUE(this->budget.end_overdue(this->now).empty());
    this->connect(2);
    EXPECT_FALSE(this->reserve(2, 700).granted);
    this->budget.finish_request(1, this->now);
    this->connect(3);
    EXPECT_TRUE(this->reserve(3, 700).granted);
}

TEST_F(body_budget_test, ends_bodies_that_stall_or_last_too_long)
{
    this->connect(1); // stalls
    this->connect(2); // sends single bytes, which are no progress
    this->connect(3); // makes progress for too long
    std::vector<body_budget::connection_id> ended;
    for (int second = 0; second < 60; ++second) {
        this->now += seconds(1);
        this->budget.receive(2, 1, this->now);
        this->budget.receive(3, 2'000, this->now);
        for (const auto id : this->budget.end_overdue(this->now)) {
            EXPECT_EQ(second, id == 3 ? 59 : 9);
            ended.push_back(id);
        }
    }
    EXPECT_EQ(ended, (std::vector<body_budget::connection_id>{1, 2, 3}));
}

TEST_F(body_budget_test, ends_the_connection_that_is_idle_for_longest_when_there_are_too_many)
{
    for (body_budget::connection_id id = 1; id <= 20; ++id) {
        this->budget.open(id, "10.0.0.1", this->now);
        this->now += milliseconds(50);
    }
    this->budget.start_body(1, this->now);
    const auto ended = this->budget.end_idle(this->now);
    EXPECT_EQ(ended, (std::vector<body_budget::connection_id>{2, 3, 4}));
    EXPECT_FALSE(this->budget.is_crowded());
    for (const auto id : ended)
        this->budget.close(id);
    EXPECT_EQ(this->budget.connections(), 17U);
    this->now += seconds(20);
    EXPECT_EQ(this->budget.end_overdue(this->now).size(), 17U);
}

// Servers without time limits used to end each connection within a second.
TEST(body_budget, without_time_limits_no_connection_is_overdue)
{
    const monotonic_time now{seconds(100)};
    body_budget budget(body_budget_limits{});
    budget.open(1, "10.0.0.1", now);
    budget.open(2, "10.0.0.1", now);
    budget.start_body(2, now);
    EXPECT_TRUE(budget.end_overdue(now + seconds(3600)).empty());
}

TEST(body_budget, memory_is_given_back_after_a_peak_and_only_once)
{
    const monotonic_time now{seconds(100)};
    body_budget budget(body_budget_limits{});
    budget.open(1, "10.0.0.1", now);
    EXPECT_TRUE(budget.reserve(1, 8U << 20U, now).granted);
    EXPECT_FALSE(budget.take_trim_request());
    budget.close(1);
    EXPECT_EQ(budget.bytes(), 0U);
    EXPECT_TRUE(budget.take_trim_request());
    EXPECT_FALSE(budget.take_trim_request());
}

TEST(body_budget, limits_follow_from_the_vm_and_hold_one_body_of_the_largest_size)
{
    const auto smallest = body_budget_limits::of_vm(1, 64, 262'144);
    body_budget budget(smallest);
    budget.open(1, "10.0.0.1", {});
    EXPECT_TRUE(budget.reserve(1, 262'144, {}).granted);
    const auto limits = body_budget_limits::of_vm(120, 3'000, 262'144);
    EXPECT_EQ(limits.large_bytes, 15U << 20U);
    EXPECT_EQ(connection_limit(0, 3'000), 3'000U);
    EXPECT_EQ(connection_limit(4'100, 3'000), 3'000U);
    EXPECT_EQ(connection_limit(3'075, 3'000), 1'975U);
    EXPECT_EQ(connection_limit(1'000, 3'000), 64U);
}

} // namespace
} // namespace verbenalever
