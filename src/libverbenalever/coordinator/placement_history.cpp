#include "coordinator/placement_history.h"

#include "loop/clock.h"

namespace verbenalever {

namespace {

/// Longest time from the storage of a batch until it is known which of its start orders had no
/// answer, and these are among the pending writes.
constexpr milliseconds longest_answer_time{1000};

} // namespace

void placement_history::add(std::int64_t term, std::int64_t written_ms)
{
    this->written_by_term[term].insert(written_ms);
}

bool placement_history::may_lack_answers(std::int64_t term, std::int64_t written_ms) const
{
    const auto written = this->written_by_term.find(term);
    if (written == this->written_by_term.end() || written_ms == 0)
        return true;
    // The batch was stored before the next one was written.
    const auto next = written->second.upper_bound(written_ms);
    return next == written->second.end() ||
           *written->second.rbegin() - *next < longest_answer_time.count();
}

} // namespace verbenalever
