#include "limits/team_key.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

RC_GTEST_PROP(team_key, gives_back_every_name, (const std::string& team))
{
    const auto key = verbenalever::team_to_key(team);
    RC_ASSERT(verbenalever::team_from_key(key) == team);
    RC_ASSERT(key.find('/') == std::string::npos);
}

} // namespace
