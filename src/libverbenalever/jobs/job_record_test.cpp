#include "jobs/job_record.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace verbenalever {
namespace {

job_task make_task(std::size_t number)
{
    if (number % 3 == 0)
        return {};
    return {.state = number % 3 == 1 ? "placed" : "done",
            .target = "target-" + std::to_string(number),
            .attempt = "1-" + std::to_string(number),
            .result = std::string(number % 7, 'r'),
            .failures = static_cast<std::int64_t>(number % 4),
            .progress_ms = static_cast<std::int64_t>(number)};
}

bool same(const job_task& left, const job_task& right)
{
    return left.state == right.state && left.target == right.target &&
           left.attempt == right.attempt && left.result == right.result &&
           left.failures == right.failures && left.progress_ms == right.progress_ms;
}

TEST(JobRecord, EveryTaskSurvivesSerialization)
{
    EXPECT_TRUE(rc::check([] {
        job_record job{.id = "job-1", .queue = "batch", .team = "red", .driver = "entry-a1"};
        const auto count = *rc::gen::inRange<std::size_t>(1, 450);
        for (std::size_t i = 0; i < count; ++i)
            job.tasks.push_back(make_task(*rc::gen::inRange<std::size_t>(0, 1000)));
        auto read = job_record::parse(job.serialize_page(0));
        RC_ASSERT(read.ok());
        RC_ASSERT(read->tasks.size() == count);
        for (std::size_t page = 1; page < job.pages(); ++page)
            RC_ASSERT(read->apply_page(page, job.serialize_page(page)).ok());
        for (std::size_t i = 0; i < count; ++i)
            RC_ASSERT(same(read->tasks[i], job.tasks[i]));
    }));
}

TEST(JobRecord, TasksOfAbsentPagesArePending)
{
    job_record job{.id = "job-1", .tasks = std::vector<job_task>(250)};
    job.tasks[240].state = "done";
    const auto read = job_record::parse(job.serialize_page(0));
    ASSERT_TRUE(read.ok());
    EXPECT_EQ(read->tasks.size(), 250u);
    EXPECT_EQ(read->tasks[240].state, "pending");
}

TEST(JobRecord, RejectsTextThatIsNoRecord)
{
    for (const auto* text : {"", "{}", "[]", R"({"blocked":true})", R"({"id":1})"})
        EXPECT_EQ(job_record::parse(text).status().code(), absl::StatusCode::kInvalidArgument);
}

TEST(JobRecord, EveryPageStaysUnderAMegabyte)
{
    job_record job{.id = "job-1", .command = std::string(256 * 1024, 'c')};
    job.tasks.assign(5000, {.state = "done",
                            .target = std::string(64, 't'),
                            .attempt = "12-123456",
                            .result = std::string(200, 'r')});
    for (std::size_t page = 0; page < job.pages(); ++page)
        EXPECT_LT(job.serialize_page(page).size(), 1u << 20);
}

} // namespace
} // namespace verbenalever
