#include "coordinator/known_definitions.h"

#include "ports/fleet_configuration.h"

#include <gtest/gtest.h>

namespace verbenalever {
namespace {

fleet_configuration configuration_with(std::vector<queue_definition> queues)
{
    fleet_configuration made;
    made.version = 1;
    made.queues = std::move(queues);
    return made;
}

TEST(known_definitions, keeps_the_last_definition_of_a_removed_queue_in_its_place)
{
    known_definitions known;
    known.apply(configuration_with({{.name = "a", .pool = "old", .attempts = 5}}));
    const auto* definition = known.queue("a");
    ASSERT_NE(definition, nullptr);
    known.apply(configuration_with({}));
    EXPECT_EQ(known.queue("a"), definition);
    EXPECT_EQ(definition->attempts, 5);
    known.apply(configuration_with({{.name = "a", .pool = "new", .attempts = 2}}));
    EXPECT_EQ(known.queue("a"), definition);
    EXPECT_EQ(definition->pool, "new");
    EXPECT_EQ(definition->attempts, 2);
}

// A configured queue is not replaced by what an earlier coordinator has stored of it.
TEST(known_definitions, restores_what_the_configuration_lacks)
{
    known_definitions first;
    first.apply(configuration_with({{.name = "a", .pool = "a1", .priority = 2, .attempts = 5},
                                    {.name = "b",
                                     .pool = "b1",
                                     .stretch = 4,
                                     .latency_objective = milliseconds(250),
                                     .needs_advice = true,
                                     .advice_base_ms = 5,
                                     .advice_target_ms = 0.25}}));
    known_definitions second;
    second.apply(configuration_with({{.name = "a", .pool = "a2", .attempts = 3}}));
    ASSERT_TRUE(second.restore(first.encode()).ok());
    EXPECT_EQ(second.queue("a")->pool, "a2");
    const auto* restored = second.queue("b");
    ASSERT_NE(restored, nullptr);
    EXPECT_EQ(restored->pool, "b1");
    EXPECT_EQ(restored->stretch, 4);
    EXPECT_EQ(restored->latency_objective, milliseconds(250));
    EXPECT_TRUE(restored->needs_advice);
    EXPECT_EQ(restored->advice_base_ms, 5);
    EXPECT_EQ(restored->advice_target_ms, 0.25);
}

TEST(known_definitions, unreadable_text_is_an_error_and_changes_nothing)
{
    known_definitions known;
    known.apply(configuration_with({{.name = "a", .pool = "p"}}));
    const auto before = known.encode();
    EXPECT_EQ(known.restore("\xc1 nonsense").code(), absl::StatusCode::kInvalidArgument);
    EXPECT_EQ(known.encode(), before);
}

TEST(known_definitions, assumed_definitions_are_cautious_and_not_stored)
{
    known_definitions known;
    known.apply(configuration_with({{.name = "a", .priority = 2, .attempts = 5}}));
    const auto before = known.encode();
    const auto& assumed = known.queue_or_assumed("gone", "pool");
    EXPECT_EQ(assumed.pool, "pool");
    EXPECT_EQ(assumed.priority, 2);
    EXPECT_EQ(assumed.attempts, 5);
    EXPECT_FALSE(assumed.needs_advice);
    known.require_advice("gone");
    known.require_advice("a");
    EXPECT_TRUE(assumed.needs_advice);
    EXPECT_FALSE(known.queue("a")->needs_advice);
    EXPECT_EQ(known.encode(), before);
}

TEST(known_definitions, forgets_removed_queues_that_are_not_in_use)
{
    known_definitions known;
    known.apply(configuration_with({{.name = "a"}, {.name = "b"}, {.name = "c"}}));
    known.apply(configuration_with({{.name = "c"}}));
    known.forget_removed([](const queue_definition& queue) { return queue.name == "a"; },
                         [](const team_definition&) { return false; });
    EXPECT_NE(known.queue("a"), nullptr);
    EXPECT_EQ(known.queue("b"), nullptr);
    EXPECT_NE(known.queue("c"), nullptr);
}

TEST(known_definitions, keeps_and_restores_the_limit_of_a_removed_team)
{
    fleet_configuration with_team;
    with_team.teams.push_back(
        {.name = "t", .keys = {"secret"}, .weight = 3, .limit = {.processors_milli = 4000}});
    known_definitions first;
    first.apply(with_team);
    first.apply(fleet_configuration());
    ASSERT_NE(first.team("t"), nullptr);
    EXPECT_EQ(first.encode().find("secret"), std::string::npos);
    known_definitions second;
    ASSERT_TRUE(second.restore(first.encode()).ok());
    ASSERT_NE(second.team("t"), nullptr);
    EXPECT_EQ(second.team("t")->weight, 3);
    EXPECT_EQ(second.team("t")->limit.processors_milli, 4000);
    const auto unused = [](const auto&) { return false; };
    second.forget_removed(unused, unused);
    EXPECT_EQ(second.team("t"), nullptr);
}

} // namespace
} // namespace verbenalever
