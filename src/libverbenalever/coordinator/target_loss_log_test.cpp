#include "coordinator/target_loss_log.h"

#include <gtest/gtest.h>

namespace verbenalever {
namespace {

constexpr auto anywhere = [](const std::string&) { return true; };

TEST(target_loss_log_test, counts_losses_that_may_have_been_at_the_same_moment)
{
    target_loss_log losses;
    losses.add({"a", milliseconds(1000), milliseconds(1400)});
    losses.add({"b", milliseconds(1300), milliseconds(1700)});
    losses.add({"c", milliseconds(1500), milliseconds(1900)});
    EXPECT_EQ(losses.count_simultaneous(*losses.find("a"), anywhere), 2);
    EXPECT_EQ(losses.count_simultaneous(*losses.find("b"), anywhere), 3);
    EXPECT_EQ(losses.count_simultaneous(*losses.find("b"),
                                        [](const std::string& target) { return target != "c"; }),
              2);
}

TEST(target_loss_log_test, a_loss_that_is_noticed_again_keeps_its_first_entry)
{
    target_loss_log losses;
    losses.add({"a", milliseconds(1000), milliseconds(1400)});
    losses.add({"a", milliseconds(1000), milliseconds(4000)});
    EXPECT_EQ(losses.find("a")->noticed_at, milliseconds(1400));
    losses.add({"a", milliseconds(5000), milliseconds(5400)});
    EXPECT_EQ(losses.find("a")->noticed_at, milliseconds(5400));
    losses.remove("a");
    EXPECT_EQ(losses.find("a"), nullptr);
}

} // namespace
} // namespace verbenalever
