#include "access/wrong_key_limiter.h"

#include <gtest/gtest.h>

#include <string>

namespace {

using std::chrono::seconds;
using verbenalever::monotonic_time;
using verbenalever::wrong_key_limiter;

TEST(wrong_key_limiter, limits_each_source_independently)
{
    wrong_key_limiter limiter;
    const monotonic_time now{seconds(100)};
    for (int i = 0; i < static_cast<int>(wrong_key_limiter::burst); ++i)
        EXPECT_FALSE(limiter.count("10.0.0.1", now));
    EXPECT_EQ(limiter.count("10.0.0.1", now), seconds(1));
    EXPECT_FALSE(limiter.count("10.0.0.2", now));
    EXPECT_FALSE(limiter.count("10.0.0.1", now + seconds(1)));
    EXPECT_TRUE(limiter.count("10.0.0.1", now + seconds(1)));
}

TEST(wrong_key_limiter, bounds_the_number_of_stored_sources)
{
    wrong_key_limiter limiter;
    const monotonic_time now{seconds(100)};
    for (int i = 0; i < 20000; ++i)
        static_cast<void>(limiter.count(std::to_string(i), now));
    EXPECT_LE(limiter.size(), 4096U);
}

} // namespace
