#include "coordination/strongest_vm_record.h"

#include <gtest/gtest.h>

namespace verbenalever {
namespace {

constexpr vm_fitness strong{.processor_share = 0.5, .link_mbps = 200};
constexpr vm_fitness weak{.processor_share = 0.1, .link_mbps = 10};
constexpr milliseconds minute{60'000};

// Strong VMs that restarted later than 30 s after an election used to be forgotten at once, so that
// weak VMs which started at the same time did not wait for them.
TEST(strongest_vm_record_test, a_vm_that_leaves_counts_until_it_has_been_away_for_the_limit)
{
    strongest_vm_record record(weak);
    record.set(strong, milliseconds(0));
    record.update(strong, minute);
    record.update(weak, minute + strongest_vm_record::absence_limit - milliseconds(1));
    EXPECT_EQ(record.value(), strong);
    record.update(weak, minute + strongest_vm_record::absence_limit);
    EXPECT_EQ(record.value(), weak);
}

TEST(strongest_vm_record_test, a_stronger_vm_counts_at_once)
{
    strongest_vm_record record(weak);
    record.update(strong, milliseconds(1));
    EXPECT_EQ(record.value(), strong);
}

} // namespace
} // namespace verbenalever
