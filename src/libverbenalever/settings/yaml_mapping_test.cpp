#include "settings/yaml_mapping.h"

#include "settings/yaml_problems.h"

#include <gtest/gtest.h>
#include <yaml-cpp/yaml.h>

#include <string>

namespace verbenalever {
namespace {

/// @return the duration that the text stands for; -1 ms when it is reported as a problem
milliseconds read_duration(const std::string& text)
{
    yaml_problems problems("test");
    yaml_mapping mapping(YAML::Load("{value: '" + text + "'}"), "", problems);
    const auto value = mapping.duration("value", milliseconds(0));
    return problems.empty() ? value : milliseconds(-1);
}

// The platform fills in bounds as whole numbers or fractions: no entry started once the grace time
// was 6.5 s.
TEST(yaml_mapping, a_duration_may_have_a_fraction)
{
    EXPECT_EQ(read_duration("6.5s"), milliseconds(6500));
    EXPECT_EQ(read_duration("0.25m"), milliseconds(15'000));
    EXPECT_EQ(read_duration("6000.2ms"), milliseconds(6001)) << "a limit is not shortened";
    EXPECT_EQ(read_duration("6s"), milliseconds(6000));
    EXPECT_EQ(read_duration("0ms"), milliseconds(0));
}

TEST(yaml_mapping, what_is_no_duration_is_reported)
{
    for (const auto* text : {"6.5", "s", ".s", "1.2.3s", "-1s", "1e3s", "nans", "6,5s", "6.5 s",
                             "99999999999999999999h"})
        EXPECT_EQ(read_duration(text), milliseconds(-1)) << text;
}

} // namespace
} // namespace verbenalever
