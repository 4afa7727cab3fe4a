#include "configuration/configuration_findings.h"

#include "configuration/operator_configuration.h"
#include "ports/fleet_configuration.h"
#include "store/vm_record.h"

#include <gtest/gtest.h>

#include <fmt/format.h>

namespace verbenalever {
namespace {

using kind = configuration_finding::kind;

const std::string digest(64, 'a');
const std::string other_digest(64, 'b');

std::vector<configuration_finding> findings_of(const std::string& text)
{
    const auto configuration = operator_configuration::parse(text, "file");
    EXPECT_TRUE(configuration.ok()) << configuration.status();
    return configuration.ok() ? find_mistakes(*configuration)
                              : std::vector<configuration_finding>();
}

/// @return "PATH" of each finding of the kind
std::vector<std::string> paths(const std::vector<configuration_finding>& findings, kind what)
{
    std::vector<std::string> result;
    for (const auto& finding : findings) {
        if (finding.what == what)
            result.push_back(finding.path);
    }
    return result;
}

using names = std::vector<std::string>;

// A check that reports usual configurations is not read any more.
TEST(configuration_findings_test, sound_configuration_has_none)
{
    const auto found = findings_of(fmt::format(
        "teams: {{red: {{limit: {{slots: 4}}}}}}\nqueues: {{q: {{demand: {{slots: 2}}}}}}\n"
        "keys: [{{id: k, team: red, sha256: {}}}]\n",
        digest));
    EXPECT_TRUE(found.empty()) << found.front().path << ' ' << found.front().message;
    EXPECT_TRUE(findings_of("").empty());
    EXPECT_TRUE(findings_of("teams: {red: {}}\nqueues: {q: {open: true}}\n").empty());
}

TEST(configuration_findings_test, teams_and_keys_that_nobody_can_use_are_found)
{
    const auto found = findings_of(fmt::format(
        "teams: {{red: {{}}, blue: {{}}}}\nqueues: {{q: {{}}}}\nkeys:\n"
        "  - {{id: k1, team: red, sha256: {0}}}\n  - {{id: k2, team: red, sha256: {0}}}\n"
        "operator_keys:\n  - {{id: k3, sha256: {1}}}\n",
        digest, other_digest));
    EXPECT_EQ(paths(found, kind::never_matches), (names{"teams.blue", "keys[1]"}));
    EXPECT_EQ(paths(findings_of("teams: {}\nqueues: {q: {}}\n"), kind::never_matches),
              names{"queues.q"});
}

TEST(configuration_findings_test, limits_that_exclude_all_work_are_found)
{
    const auto found = findings_of(fmt::format(
        "teams: {{red: {{limit: {{slots: 1}}}}, blue: {{limit: {{slots: 3}}}}}}\n"
        "queues: {{wide: {{demand: {{slots: 4}}}}, usual: {{demand: {{slots: 2}}}},"
        " shut: {{length_limit: 0}}}}\n"
        "keys: [{{id: k1, team: red, sha256: {}}}, {{id: k2, team: blue, sha256: {}}}]\n",
        digest, other_digest));
    EXPECT_EQ(paths(found, kind::contradictory_limits), (names{"queues.shut", "queues.wide"}));
    const auto narrow =
        findings_of(fmt::format("teams: {{red: {{limit: {{slots: 1}}}}, blue: {{}}}}\n"
                                "queues: {{wide: {{demand: {{slots: 4}}}}}}\n"
                                "keys: [{{id: k1, team: red, sha256: {}}}, "
                                "{{id: k2, team: blue, sha256: {}}}]\n",
                                digest, other_digest));
    EXPECT_EQ(paths(narrow, kind::contradictory_limits), names{"teams.red"});
    EXPECT_FALSE(contains_kind(narrow, kind::never_matches));
}

TEST(configuration_findings_test, hidden_routes_and_pools_without_targets_are_found)
{
    fleet_configuration configuration;
    configuration.queues = {{.name = "a", .host = "h", .prefix = "/x", .pool = "p"},
                            {.name = "b", .host = "h", .prefix = "/x/y", .pool = "p"},
                            {.name = "c", .host = "h", .prefix = "/x", .pool = "p"},
                            {.name = "a", .host = "h", .prefix = "/z", .pool = "empty"}};
    configuration.teams = {
        {.name = "t", .keys = {"k1", "k2"}}, {.name = "u", .keys = {"k2"}}, {.name = "v"}};
    EXPECT_EQ(
        paths(find_mistakes(configuration, {"p"}), kind::never_matches),
        (names{"routes[2]", "routes[3]", "routes[3]", "tenants[1].apiKeys[0]", "tenants[2]"}));
    configuration.queues[0].open = true;
    EXPECT_EQ(paths(find_mistakes(configuration, {}), kind::never_matches),
              (names{"routes[2]", "routes[3]", "tenants[1].apiKeys[0]"}));
}

// Guards against a queue whose work waits for ever since no target is large enough, or none is left
// in a zone in service.
TEST(configuration_findings_test, queues_without_targets_are_found)
{
    const auto configuration = operator_configuration::parse(
        "availability_zones: {b: {state: out}}\nqueues: {small: {}, wide: {demand: {slots: 4}}}\n",
        "file");
    ASSERT_TRUE(configuration.ok()) << configuration.status();
    std::vector<vm_record> targets{{.availability_zone = "b", .capacity = {.slots = 8}}};
    const auto paths_with = [&] {
        return paths(find_queues_without_targets(*configuration, targets), kind::never_matches);
    };
    EXPECT_EQ(paths_with(), (names{"queues.small", "queues.wide"}));
    targets.push_back({.availability_zone = "a", .capacity = {.slots = 3}});
    EXPECT_EQ(paths_with(), names{"queues.wide"});
    targets.push_back({.availability_zone = "a", .capacity = {.slots = 4}});
    EXPECT_TRUE(paths_with().empty());
}

} // namespace
} // namespace verbenalever
