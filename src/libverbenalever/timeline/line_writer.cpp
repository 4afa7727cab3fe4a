#include "timeline/line_writer.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>

namespace verbenalever {

line_writer::line_writer(int descriptor) : descriptor(descriptor)
{
    struct stat file_status {};
    if (::fstat(descriptor, &file_status) != 0 ||
        !(S_ISFIFO(file_status.st_mode) || S_ISSOCK(file_status.st_mode)))
        return; // writes to files do not wait for a reader
    const int flags = ::fcntl(descriptor, F_GETFL);
    if (flags >= 0)
        ::fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
}

void line_writer::write(std::string_view line)
{
    this->flush();
    if (this->unreported_drops > 0 && this->buffer.empty()) {
        this->buffer =
            fmt::format("{{\"event\":\"lines_dropped\",\"count\":{}}}\n", this->unreported_drops);
        this->unreported_drops = 0;
    }
    if (this->buffer.size() + line.size() > buffer_limit) {
        ++this->dropped_lines;
        ++this->unreported_drops;
        return;
    }
    this->buffer += line;
    this->flush();
}

void line_writer::flush()
{
    std::size_t flushed = 0;
    while (flushed < this->buffer.size()) {
        const auto written =
            ::write(this->descriptor, this->buffer.data() + flushed, this->buffer.size() - flushed);
        if (written < 0 && errno == EINTR)
            continue;
        if (written <= 0)
            break; // the pipe is full; the next write() tries again
        flushed += static_cast<std::size_t>(written);
    }
    this->buffer.erase(0, flushed);
}

} // namespace verbenalever
