#include "configuration/configuration_merge.h"

#include "configuration/operator_configuration.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

using verbenalever::merge_configuration;
using verbenalever::operator_configuration;

constexpr const char* base_text = "teams:\n"
                                  "  red: {share: 1}\n"
                                  "  blue: {share: 2}\n"
                                  "queues:\n"
                                  "  open: {open: true, deadline: 2s}\n";

TEST(configuration_merge, merges_by_name_and_deletes_by_null)
{
    const auto merged = merge_configuration(
        {"base.yaml", base_text},
        {"site.yaml",
         "teams:\n  red: {share: 5}\n  blue: null\nqueues: {open: {stopped: true}}\n"});
    ASSERT_TRUE(merged.ok()) << merged.status();
    const auto read = operator_configuration::parse(*merged, "merged");
    ASSERT_TRUE(read.ok()) << read.status();
    EXPECT_EQ(read->teams.size(), 1U);
    EXPECT_EQ(read->teams.at("red").share, 5);
    EXPECT_TRUE(read->queues.at("open").stopped);
    EXPECT_TRUE(read->queues.at("open").open);
}

TEST(configuration_merge, returns_the_base_text_for_an_empty_overlay)
{
    const auto merged = merge_configuration({"base.yaml", base_text}, {"", ""});
    ASSERT_TRUE(merged.ok());
    EXPECT_EQ(*merged, base_text);
}

TEST(configuration_merge, names_the_file_and_line_of_every_problem)
{
    const auto merged = merge_configuration(
        {"base.yaml", "teams:\n  red: {share: much}\nqueues:\n  open: {deadline: 2s}\n"},
        {"site.yaml", "queues:\n  open:\n    deadline: soon\n    colour: red\n"
                      "teams:\n  gone: null\nkeys:\n  - {id: k, team: red, sha256: x}\n"});
    ASSERT_FALSE(merged.ok());
    const std::string message(merged.status().message());
    for (const auto* expected :
         {"base.yaml:2: teams.red.share: 'much'", "site.yaml:3: queues.open.deadline: 'soon'",
          "site.yaml:4: queues.open.colour: is not a known setting",
          "site.yaml:6: teams.gone: there is nothing to delete",
          "site.yaml:8: keys[0].sha256: is not 64"})
        EXPECT_NE(message.find(expected), std::string::npos) << expected << " in\n" << message;
}

TEST(configuration_merge, rejects_duplicate_names_and_aliases)
{
    const auto twice = operator_configuration::parse("teams:\n  a: {share: 1}\n  a: {}\n", "f");
    EXPECT_EQ(twice.status().message(), "f:3: teams.a: is set twice");
    const auto alias = operator_configuration::parse("teams:\n  a: &x {share: 1}\n  b: *x\n", "f");
    EXPECT_EQ(alias.status().message(), "f:3: aliases are not supported; repeat the value");
}

RC_GTEST_PROP(configuration_merge, any_text_is_merged_or_rejected,
              (const std::string& base, const std::string& overlay))
{
    const auto merged = merge_configuration({"base", base}, {"overlay", overlay});
    if (merged.ok())
        RC_ASSERT(operator_configuration::parse(*merged, "merged").ok());
}

/// Generates texts from fragments of configurations: more of these than of random texts are valid
/// YAML.
rc::Gen<std::string> yaml_fragments()
{
    return rc::gen::map(
        rc::gen::container<std::vector<std::string>>(rc::gen::element<std::string>(
            "teams:", "queues:", "keys:", "availability_zones:", " red:", " share: 1", " {", "}",
            "[", "]", "\n", "\n  ", ": ", "- ", "null", "~", "limit: {slots: 3}", "state: out",
            "\"", "!!map", "? ", "&a", "*a", "<<: ", "|", "%", "1e999", "-1")),
        [](const std::vector<std::string>& pieces) {
            std::string text;
            for (const auto& piece : pieces)
                text += piece;
            return text;
        });
}

RC_GTEST_PROP(configuration_merge, any_yaml_fragments_are_merged_or_rejected, ())
{
    const auto base = *yaml_fragments();
    const auto overlay = *yaml_fragments();
    const auto merged = merge_configuration({"base", base}, {"overlay", overlay});
    if (merged.ok())
        RC_ASSERT(operator_configuration::parse(*merged, "merged").ok());
}

} // namespace
