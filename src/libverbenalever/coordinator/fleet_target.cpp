#include "coordinator/fleet_target.h"

#include "coordinator/target_session.h"

#include <algorithm>
#include <limits>

namespace verbenalever {

namespace {

/// Failures without a success between them after which a target is distrusted. Tasks fail by their
/// own fault too, one in twenty on the users' sheets, so that two in a row are rare.
constexpr int distrust_after = 2;
/// How long a distrusted target gets no work; doubled with each failure of the next trial.
constexpr milliseconds distrust_time{3000};
constexpr int longest_distrust_factor = 8;
/// How long a target on which a run stood still gets no work: the users' targets stand still for
/// some seconds, and a trial costs one more run that must be stopped.
constexpr milliseconds stall_rest{4000};

} // namespace

fleet_target::fleet_target(target_report report) : report(std::move(report)) {}

fleet_target::~fleet_target() = default;

placed_run& fleet_target::place(const task_name& task, const placed_run& run)
{
    this->remove(task);
    this->used += run.need;
    if (run.owner == nullptr)
        ++this->unknown_tasks;
    return this->tasks.emplace(task, run).first->second;
}

void fleet_target::remove(const task_name& task)
{
    const auto found = this->tasks.find(task);
    if (found == this->tasks.end())
        return;
    this->used -= found->second.need;
    if (found->second.owner == nullptr)
        --this->unknown_tasks;
    this->tasks.erase(found);
}

resources fleet_target::free() const
{
    if (this->unknown_tasks > 0)
        return {};
    return this->unused() - this->reserved;
}

resources fleet_target::unused() const
{
    if (this->unknown_tasks > 0)
        return {};
    return this->report.capacity - this->used;
}

std::uint32_t fleet_target::fits(const resources& room, const resources& need)
{
    std::int64_t most = std::numeric_limits<std::uint32_t>::max();
    const auto bound = [&most](std::int64_t have, std::int64_t want) {
        if (want > 0)
            most = std::min(most, std::max<std::int64_t>(0, have) / want);
    };
    bound(room.processors_milli, need.processors_milli);
    bound(room.memory_mb, need.memory_mb);
    bound(room.accelerators, need.accelerators);
    return static_cast<std::uint32_t>(most);
}

std::uint32_t fleet_target::count_of(const std::string& workflow, std::uint32_t step) const
{
    std::uint32_t count = 0;
    for (auto at = this->tasks.lower_bound({workflow, 0, 0, 0});
         at != this->tasks.end() && at->first.workflow == workflow; ++at)
        count += at->first.step == step ? 1 : 0;
    return count;
}

bool fleet_target::note_end(std::int64_t number)
{
    if (number <= this->highest_end)
        return false;
    this->highest_end = number;
    this->ends.push_back({number, false});
    return true;
}

std::int64_t fleet_target::record_end(std::int64_t number)
{
    for (auto& end : this->ends) {
        if (end.number == number)
            end.recorded = true;
    }
    while (!this->ends.empty() && this->ends.front().recorded) {
        this->recorded_up_to = this->ends.front().number;
        this->ends.pop_front();
    }
    return this->recorded_up_to;
}

void fleet_target::note_success()
{
    this->failures_in_a_row = 0;
    this->distrusted_until = milliseconds(0);
}

void fleet_target::note_failure(milliseconds now)
{
    if (++this->failures_in_a_row < distrust_after)
        return;
    const int factor = std::min(longest_distrust_factor,
                                1 << std::min(8, this->failures_in_a_row - distrust_after));
    this->distrusted_until = now + distrust_time * factor;
}

void fleet_target::note_stall(milliseconds now)
{
    this->stalled_until = now + stall_rest;
}

bool fleet_target::usable(milliseconds now) const
{
    return this->listed && !this->ended_life && !this->report.leaving && this->session->held() &&
           this->session->reachable() && now >= this->avoid_until && now >= this->stalled_until &&
           !this->distrusted(now);
}

bool fleet_target::distrusted(milliseconds now) const
{
    if (this->failures_in_a_row < distrust_after)
        return false;
    // After its time a distrusted target gets one task at a time, until one is done.
    return now < this->distrusted_until || !this->tasks.empty();
}

} // namespace verbenalever
