#include "limits/team_key.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace {

RC_GTEST_PROP(team_key, decoding_restores_every_name, (const std::string& team))
{
    const auto key = verbenalever::encode_team_key(team);
    RC_ASSERT(verbenalever::decode_team_key(key) == team);
    RC_ASSERT(key.find('/') == std::string::npos);
}

} // namespace
