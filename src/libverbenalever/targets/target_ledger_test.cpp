#include "targets/target_ledger.h"

#include "targets/target_inventory.h"

#include <gtest/gtest.h>

namespace verbenalever {

namespace {

constexpr std::int64_t epoch = 7;
const resources slot{.slots = 1};

target_inventory showing(std::vector<std::string> requests)
{
    target_inventory inventory;
    for (auto& request : requests)
        inventory.requests.push_back({.request = std::move(request), .team = "red"});
    return inventory;
}

} // namespace

TEST(target_ledger, keeps_what_the_inventory_cannot_show_yet)
{
    target_ledger ledger;
    ledger.begin_read();
    ledger.reserve("r1", "red", slot);
    ledger.take(showing({}), epoch);
    EXPECT_EQ(ledger.total().slots, 1);
}

TEST(target_ledger, counts_own_work_in_the_inventory_once)
{
    target_ledger ledger;
    ledger.reserve("r1", "red", slot);
    ledger.reserve("", "red", slot);
    ledger.begin_read();
    ledger.take(showing({"r1", "r2", "r3"}), epoch);
    // r2 stands for the reservation without a name, r3 was started by another entry.
    EXPECT_EQ(ledger.total().slots, 3);
    EXPECT_EQ(ledger.by_team().at("red").slots, 3);
}

TEST(target_ledger, release_of_work_that_was_never_reserved_takes_nothing)
{
    target_ledger ledger;
    ledger.begin_read();
    ledger.take(showing({"r1"}), epoch);
    EXPECT_FALSE(ledger.release("other", "red", slot));
    EXPECT_FALSE(ledger.release("", "red", slot));
    EXPECT_EQ(ledger.total().slots, 1);
}

TEST(target_ledger, does_not_count_again_what_was_released_while_it_was_read)
{
    target_ledger ledger;
    ledger.reserve("r1", "red", slot);
    ledger.begin_read();
    EXPECT_TRUE(ledger.release("r1", "red", slot));
    ledger.take(showing({"r1"}), epoch);
    EXPECT_EQ(ledger.total().slots, 0);
    ledger.begin_read();
    ledger.take(showing({"r1"}), epoch);
    EXPECT_EQ(ledger.total().slots, 1) << "it runs after all";
}

TEST(target_ledger, doubt_lasts_until_a_newer_lease)
{
    target_ledger ledger;
    ledger.reserve("r1", "red", slot);
    ledger.doubt("r1", epoch);
    ledger.begin_read();
    ledger.take(showing({}), epoch);
    EXPECT_EQ(ledger.total().slots, 1) << "the start may still arrive under this lease";
    EXPECT_TRUE(ledger.in_doubt());
    ledger.begin_read();
    ledger.take(showing({"r1"}), epoch + 1);
    EXPECT_EQ(ledger.total().slots, 1);
    EXPECT_FALSE(ledger.in_doubt()) << "it runs, which is no doubt";
    ledger.begin_read();
    ledger.take(showing({}), epoch + 1);
    EXPECT_EQ(ledger.total().slots, 0);
    EXPECT_FALSE(ledger.unsettled());
}

TEST(target_ledger, heals_a_reservation_whose_work_ran_and_ended)
{
    target_ledger ledger;
    ledger.reserve("r1", "red", slot);
    ledger.begin_read();
    ledger.take(showing({"r1"}), epoch);
    ledger.begin_read();
    ledger.take(showing({}), epoch);
    EXPECT_EQ(ledger.total().slots, 0);
    EXPECT_FALSE(ledger.release("r1", "red", slot));
}

} // namespace verbenalever
