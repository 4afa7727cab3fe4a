#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace verbenalever {

/// Writes whole lines to a descriptor and never waits for its reader: lines that it cannot take are
/// kept in a bounded buffer, and those beyond it are counted and dropped.
class line_writer {
public:
    /// @param descriptor stays open; pipes and sockets are switched to non-blocking
    explicit line_writer(int descriptor);

    /// @param line with its line end
    void write(std::string_view line);

    /// @return lines dropped so far
    [[nodiscard]] std::int64_t dropped() const
    {
        return this->dropped_lines;
    }

    /// Bytes kept for a slow reader: some seconds of logging at the busiest.
    static constexpr std::size_t buffer_limit = 256 << 10;

private:
    void flush();

    int descriptor;
    std::string buffer;
    std::int64_t dropped_lines = 0;
    std::int64_t unreported_drops = 0; ///< dropped and not yet told of in the stream
};

} // namespace verbenalever
