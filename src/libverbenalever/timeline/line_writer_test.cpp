#include "timeline/line_writer.h"

#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <string>

namespace verbenalever {
namespace {

std::string read_some(int descriptor)
{
    std::array<char, 65536> chunk{};
    const auto got = ::read(descriptor, chunk.data(), chunk.size());
    return {chunk.data(), got > 0 ? static_cast<std::size_t>(got) : 0};
}

TEST(line_writer_test,
     a_stopped_reader_does_not_block_the_writer_and_later_reads_how_many_lines_were_dropped)
{
    std::array<int, 2> ends{};
    ASSERT_EQ(::pipe(ends.data()), 0);
    line_writer writer(ends[1]);
    const std::string line(1000, 'x');
    for (int number = 0; number < 1000; ++number)
        writer.write(line + "\n");
    EXPECT_GT(writer.dropped(), 0);
    std::string all;
    for (int rounds = 0; rounds < 50; ++rounds) {
        all += read_some(ends[0]);
        writer.write("after\n");
        if (all.find("lines_dropped") != std::string::npos)
            break;
    }
    EXPECT_NE(all.find("\"event\":\"lines_dropped\",\"count\":"), std::string::npos);
    ::close(ends[0]);
    ::close(ends[1]);
}

} // namespace
} // namespace verbenalever
