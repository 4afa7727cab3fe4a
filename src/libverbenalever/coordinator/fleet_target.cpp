#include "coordinator/fleet_target.h"

#include "coordinator/free_capacity_index.h"
#include "coordinator/target_session.h"

#include <algorithm>
#include <limits>

namespace verbenalever {

namespace {

/// Consecutive failures after which a target is quarantined. Tasks also fail through no fault of
/// the target, one in twenty in the users' data, so that two in a row on a sound target are rare.
constexpr int failures_before_quarantine = 2;
/// How long a quarantined target gets no work; doubled with each further failure.
constexpr milliseconds base_quarantine_time{3000};
constexpr int max_quarantine_factor = 8;
/// How long a target with a stalled run gets no work: the users' targets stall for some seconds,
/// and a run started too early stalls too and must be stopped.
constexpr milliseconds stall_backoff{4000};

} // namespace

fleet_target::fleet_target(target_report report, std::uint64_t registration_id,
                           free_capacity_index& free_targets)
    : report(std::move(report)), registration_id(registration_id), free_targets(free_targets)
{
    this->free_targets.update(*this);
}

fleet_target::~fleet_target()
{
    this->free_targets.remove(*this);
}

void fleet_target::update_report(const target_report& newer)
{
    this->report = newer;
    this->free_targets.update(*this);
}

placed_run& fleet_target::add_run(const task_name& task, const placed_run& run)
{
    this->remove_run(task);
    this->used += run.need;
    if (run.owner == nullptr)
        ++this->runs_of_unknown_size;
    this->free_targets.update(*this);
    return this->tasks.emplace(task, run).first->second;
}

void fleet_target::remove_run(const task_name& task)
{
    const auto found = this->tasks.find(task);
    if (found == this->tasks.end())
        return;
    this->used -= found->second.need;
    if (found->second.suspect)
        this->isolated_until = milliseconds(0);
    if (found->second.owner == nullptr)
        --this->runs_of_unknown_size;
    this->tasks.erase(found);
    this->free_targets.update(*this);
}

resources fleet_target::free_resources() const
{
    if (this->runs_of_unknown_size > 0)
        return {};
    return this->unused_resources() - this->reserved;
}

resources fleet_target::unused_resources() const
{
    if (this->runs_of_unknown_size > 0)
        return {};
    return this->report.capacity - this->used;
}

bool fleet_target::can_start(const resources& need) const
{
    if (this->runs_of_unknown_size > 0)
        return false;
    const auto unused = this->unused_resources();
    return (need.processors_milli <= 0 || unused.processors_milli >= 0) &&
           (need.memory_mb <= 0 || unused.memory_mb >= 0) &&
           (need.accelerators <= 0 || unused.accelerators >= 0);
}

std::uint32_t fleet_target::count_fitting(const resources& room, const resources& need)
{
    std::int64_t max_count = std::numeric_limits<std::uint32_t>::max();
    const auto bound = [&max_count](std::int64_t available, std::int64_t needed) {
        if (needed > 0)
            max_count = std::min(max_count, std::max<std::int64_t>(0, available) / needed);
    };
    bound(room.processors_milli, need.processors_milli);
    bound(room.memory_mb, need.memory_mb);
    bound(room.accelerators, need.accelerators);
    return static_cast<std::uint32_t>(max_count);
}

std::uint32_t fleet_target::count_tasks(const std::string& workflow, std::uint32_t step) const
{
    std::uint32_t count = 0;
    for (auto entry = this->tasks.lower_bound({workflow, 0, 0, 0});
         entry != this->tasks.end() && entry->first.workflow == workflow; ++entry)
        count += entry->first.step == step ? 1 : 0;
    return count;
}

bool fleet_target::add_end(std::int64_t number)
{
    if (number <= this->last_end_number)
        return false;
    this->last_end_number = number;
    this->unacknowledged_ends.push_back({number, false});
    return true;
}

std::int64_t fleet_target::mark_end_stored(std::int64_t number)
{
    for (auto& end : this->unacknowledged_ends) {
        if (end.number == number)
            end.stored = true;
    }
    while (!this->unacknowledged_ends.empty() && this->unacknowledged_ends.front().stored) {
        this->stored_up_to = this->unacknowledged_ends.front().number;
        this->unacknowledged_ends.pop_front();
    }
    return this->stored_up_to;
}

void fleet_target::record_success()
{
    this->consecutive_failures = 0;
    this->quarantined_until = milliseconds(0);
}

void fleet_target::record_failure(milliseconds now)
{
    // Runs that were there when the quarantine began may fail too; only one that was started after
    // it shows that the target has not recovered.
    if (now < this->quarantined_until || ++this->consecutive_failures < failures_before_quarantine)
        return;
    const int factor =
        std::min(max_quarantine_factor,
                 1 << std::min(8, this->consecutive_failures - failures_before_quarantine));
    this->quarantined_until = now + base_quarantine_time * factor;
}

void fleet_target::record_stall(milliseconds now)
{
    this->stall_backoff_until = now + stall_backoff;
}

bool fleet_target::usable(milliseconds now) const
{
    return this->in_directory && !this->restarted && !this->report.leaving &&
           this->unresolved_starts.empty() && this->session->polled() &&
           this->session->reachable() && now >= this->start_backoff_until &&
           now >= this->stall_backoff_until && !this->isolated(now) && !this->quarantined(now);
}

bool fleet_target::quarantined(milliseconds now) const
{
    if (this->consecutive_failures < failures_before_quarantine)
        return false;
    // After this time a quarantined target gets one task at a time, until one succeeds.
    return now < this->quarantined_until || !this->tasks.empty();
}

} // namespace verbenalever
