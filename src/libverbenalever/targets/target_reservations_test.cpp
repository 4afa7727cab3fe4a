#include "targets/target_reservations.h"

#include "targets/target_inventory.h"

#include <gtest/gtest.h>

namespace verbenalever {

namespace {

constexpr std::int64_t epoch = 7;
const resources slot{.slots = 1};

target_inventory inventory_with(std::vector<std::string> requests)
{
    target_inventory inventory;
    for (auto& request : requests)
        inventory.requests.push_back({.request = std::move(request), .team = "red"});
    return inventory;
}

} // namespace

TEST(target_reservations, keeps_a_reservation_made_during_an_inventory_read)
{
    target_reservations reservations;
    reservations.begin_inventory_read();
    reservations.reserve("r1", "red", slot);
    reservations.apply_inventory(inventory_with({}), epoch);
    EXPECT_EQ(reservations.total().slots, 1);
}

TEST(target_reservations, counts_own_work_shown_by_the_inventory_once)
{
    target_reservations reservations;
    reservations.reserve("r1", "red", slot);
    reservations.reserve("", "red", slot);
    reservations.begin_inventory_read();
    reservations.apply_inventory(inventory_with({"r1", "r2", "r3"}), epoch);
    // r2 matches the reservation without an id, r3 was started by another entry daemon.
    EXPECT_EQ(reservations.total().slots, 3);
    EXPECT_EQ(reservations.by_team().at("red").slots, 3);
}

TEST(target_reservations, release_without_a_reservation_changes_nothing)
{
    target_reservations reservations;
    reservations.begin_inventory_read();
    reservations.apply_inventory(inventory_with({"r1"}), epoch);
    EXPECT_FALSE(reservations.release("other", "red", slot));
    EXPECT_FALSE(reservations.release("", "red", slot));
    EXPECT_EQ(reservations.total().slots, 1);
}

TEST(target_reservations, does_not_count_work_released_during_the_inventory_read)
{
    target_reservations reservations;
    reservations.reserve("r1", "red", slot);
    reservations.begin_inventory_read();
    EXPECT_TRUE(reservations.release("r1", "red", slot));
    reservations.apply_inventory(inventory_with({"r1"}), epoch);
    EXPECT_EQ(reservations.total().slots, 0);
    reservations.begin_inventory_read();
    reservations.apply_inventory(inventory_with({"r1"}), epoch);
    EXPECT_EQ(reservations.total().slots, 1) << "the next inventory shows that it still runs";
}

TEST(target_reservations, an_unconfirmed_start_stays_reserved_until_a_newer_lease)
{
    target_reservations reservations;
    reservations.reserve("r1", "red", slot);
    reservations.mark_unconfirmed("r1", epoch);
    reservations.begin_inventory_read();
    reservations.apply_inventory(inventory_with({}), epoch);
    EXPECT_EQ(reservations.total().slots, 1) << "the start may still arrive under this lease";
    EXPECT_TRUE(reservations.has_unconfirmed_starts());
    reservations.begin_inventory_read();
    reservations.apply_inventory(inventory_with({"r1"}), epoch + 1);
    EXPECT_EQ(reservations.total().slots, 1);
    EXPECT_FALSE(reservations.has_unconfirmed_starts()) << "the inventory shows that it runs";
    reservations.begin_inventory_read();
    reservations.apply_inventory(inventory_with({}), epoch + 1);
    EXPECT_EQ(reservations.total().slots, 0);
    EXPECT_FALSE(reservations.may_free_capacity());
}

TEST(target_reservations, drops_a_reservation_whose_work_ran_and_ended)
{
    target_reservations reservations;
    reservations.reserve("r1", "red", slot);
    reservations.begin_inventory_read();
    reservations.apply_inventory(inventory_with({"r1"}), epoch);
    reservations.begin_inventory_read();
    reservations.apply_inventory(inventory_with({}), epoch);
    EXPECT_EQ(reservations.total().slots, 0);
    EXPECT_FALSE(reservations.release("r1", "red", slot));
}

} // namespace verbenalever
