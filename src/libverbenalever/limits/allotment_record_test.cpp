#include "limits/allotment_record.h"

#include <gtest/gtest.h>

namespace {

using verbenalever::allotment_record;

TEST(allotment_record, parses_what_it_serialized)
{
    allotment_record record{.writer = "e1", .sequence = 7};
    record.set("target-1", {.slots = 2, .memory_mb = 10});
    record.set("target-2", {.slots = 1});
    record.set("target-2", {});
    const auto read = allotment_record::parse(record.text());
    ASSERT_TRUE(read.ok()) << read.status().message();
    EXPECT_EQ(read->writer, "e1");
    EXPECT_EQ(read->sequence, 7);
    EXPECT_EQ(read->amounts, record.amounts);
    EXPECT_EQ(read->total().slots, 2);
}

TEST(allotment_record, rejects_malformed_text)
{
    for (const auto* text : {"", "[]", "{}", R"({"writer":1,"sequence":2,"amounts":{}})"})
        EXPECT_FALSE(allotment_record::parse(text).ok()) << text;
}

} // namespace
