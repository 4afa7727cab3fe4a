#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace verbenalever {

/// Writes whole lines to a descriptor and never blocks on a slow reader: lines that cannot be
/// written at once go to a bounded buffer; when it is full, lines are dropped and counted.
class line_writer {
public:
    /// @param descriptor not closed by this object; pipes and sockets are set to non-blocking
    explicit line_writer(int descriptor);

    /// @param line text including the newline at its end
    void write(std::string_view line);

    /// @return number of lines dropped so far
    [[nodiscard]] std::int64_t dropped() const
    {
        return this->dropped_lines;
    }

    /// Bytes buffered for a slow reader: a few seconds of log at the highest load.
    static constexpr std::size_t buffer_limit = 256 << 10;

private:
    void flush();

    int descriptor;
    std::string buffer;
    std::int64_t dropped_lines = 0;
    std::int64_t unreported_drops = 0; ///< dropped lines without a `lines_dropped` event yet
};

} // namespace verbenalever
