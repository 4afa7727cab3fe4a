#include "coordinator/free_capacity_index.h"

#include "coordinator/fleet_target.h"
#include "coordinator/target_session.h"
#include "coordinator/workflow.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

namespace verbenalever {
namespace {

class free_capacity_index_test : public testing::Test {
protected:
    fleet_target& add(const std::string& name, std::int64_t processors_milli)
    {
        target_report report{.name = name};
        report.capacity.processors_milli = processors_milli;
        this->targets.push_back(
            std::make_unique<fleet_target>(report, this->targets.size() + 1, this->index));
        return *this->targets.back();
    }

    /// @return a run that needs this many processors
    placed_run run_of(std::int64_t processors_milli)
    {
        placed_run run{.owner = &this->owner};
        run.need.processors_milli = processors_milli;
        return run;
    }

    [[nodiscard]] std::vector<std::string> order() const
    {
        std::vector<std::string> names;
        for (const auto& entry : this->index.entries())
            names.push_back(entry.target->report.name);
        return names;
    }

    using names = std::vector<std::string>;

    workflow owner;
    free_capacity_index index;
    std::vector<std::unique_ptr<fleet_target>> targets;
    const task_name task{"w", 0, 0, 0};
};

TEST_F(free_capacity_index_test, orders_targets_by_unused_processors)
{
    this->add("a", 4000);
    this->add("b", 8000);
    this->add("c", 4000);
    EXPECT_EQ(this->order(), (names{"b", "a", "c"}));
}

TEST_F(free_capacity_index_test, finds_the_first_target_with_too_few_processors)
{
    this->add("a", 4000);
    this->add("b", 8000);
    this->add("c", 2000);
    EXPECT_EQ(this->index.first_below(4000)->target->report.name, "c");
    EXPECT_EQ(this->index.first_below(9000)->target->report.name, "b");
    EXPECT_EQ(this->index.first_below(1000), this->index.entries().end());
}

TEST_F(free_capacity_index_test, follows_runs_that_are_added_and_removed)
{
    this->add("a", 4000);
    auto& busy = this->add("b", 8000);
    busy.add_run(this->task, this->run_of(6000));
    EXPECT_EQ(this->order(), (names{"a", "b"}));
    busy.add_run({"w", 0, 0, 1}, this->run_of(2000));
    EXPECT_EQ(this->order(), (names{"a"}));
    busy.remove_run(this->task);
    busy.remove_run({"w", 0, 0, 1});
    EXPECT_EQ(this->order(), (names{"b", "a"}));
}

TEST_F(free_capacity_index_test, leaves_out_a_target_with_a_run_of_unknown_size)
{
    auto& target = this->add("a", 4000);
    target.add_run(this->task, {});
    EXPECT_TRUE(this->order().empty());
    target.remove_run(this->task);
    EXPECT_EQ(this->order(), (names{"a"}));
}

TEST_F(free_capacity_index_test, forgets_a_target_that_is_destroyed)
{
    this->add("a", 4000);
    this->add("b", 8000);
    this->targets.pop_back();
    EXPECT_EQ(this->order(), (names{"a"}));
}

} // namespace
} // namespace verbenalever
