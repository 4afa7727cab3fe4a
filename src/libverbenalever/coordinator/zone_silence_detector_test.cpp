#include "coordinator/zone_silence_detector.h"

#include <gtest/gtest.h>

namespace verbenalever {
namespace {

TEST(zone_silence_detector_test,
     a_zone_is_silent_when_several_targets_miss_answers_and_none_answers)
{
    zone_silence_detector detector;
    detector.record_answer("z1", milliseconds(1000));
    detector.record_answer("z2", milliseconds(1000));
    for (int target = 0; target < 3; ++target)
        detector.record_missed_answer("z1");
    EXPECT_FALSE(detector.is_silent("z1", milliseconds(1100)));
    EXPECT_TRUE(detector.is_silent("z1", milliseconds(1250)));
    EXPECT_FALSE(detector.is_silent("z2", milliseconds(1250)));
    detector.record_answer("z1", milliseconds(1300));
    EXPECT_FALSE(detector.is_silent("z1", milliseconds(1600)));
}

// Load pattern: some targets leave orders unanswered while the others of their zone answer.
TEST(zone_silence_detector_test, single_silent_targets_do_not_make_a_zone_silent)
{
    zone_silence_detector detector;
    detector.record_answer("z1", milliseconds(0));
    for (int time_ms = 100; time_ms < 3000; time_ms += 100) {
        detector.record_missed_answer("z1");
        detector.record_missed_answer("z1");
        detector.record_answer("z1", milliseconds(time_ms));
        EXPECT_FALSE(detector.is_silent("z1", milliseconds(time_ms)));
    }
}

} // namespace
} // namespace verbenalever
