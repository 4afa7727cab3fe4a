#include "jobs/job_pages.h"

#include "jobs/record_writer.h"

#include <algorithm>

namespace verbenalever {

job_pages::job_pages(job_record& job, record_writer& records, std::string writer)
    : job(job), records(records), writer(std::move(writer)), states(job.pages())
{
}

void job_pages::set_revision(std::size_t page, std::int64_t revision)
{
    this->states[page].revision = revision;
}

void job_pages::save(std::span<const std::size_t> tasks, std::function<void()> kept)
{
    waiter next{.needed = {}, .kept = std::move(kept)};
    for (const auto index : tasks)
        next.needed[index / job_record::page_tasks] = 0;
    if (tasks.empty())
        next.needed[0] = 0;
    for (auto& [page, count] : next.needed)
        count = ++this->states[page].changed;
    const auto pages = next.needed;
    this->waiters.push_back(std::move(next));
    for (const auto& [page, count] : pages)
        this->write(page);
}

void job_pages::save_all(std::function<void()> kept)
{
    std::vector<std::size_t> firsts;
    for (std::size_t page = 0; page < this->states.size(); ++page)
        firsts.push_back(page * job_record::page_tasks);
    this->save(firsts, std::move(kept));
}

void job_pages::on_lost(std::function<void()> action)
{
    this->lost = std::move(action);
}

void job_pages::write(std::size_t page)
{
    auto& state = this->states[page];
    if (state.writing || state.kept == state.changed)
        return;
    state.writing = true;
    const auto covered = std::make_shared<std::uint64_t>(0);
    const auto guard = std::weak_ptr(this->alive);
    this->records.add({.key = job_record::page_key(this->job.id, page),
                       .expected = state.revision,
                       .text =
                           [this, guard, page, covered] {
                               if (guard.expired())
                                   return std::string();
                               *covered = this->states[page].changed;
                               this->job.writer = this->writer;
                               ++this->job.sequence;
                               return this->job.page_text(page);
                           },
                       .done =
                           [this, guard, page, covered](absl::StatusOr<std::int64_t> revision) {
                               if (!guard.expired())
                                   this->written(page, *covered, revision);
                           }});
}

void job_pages::written(std::size_t page, std::uint64_t covered,
                        const absl::StatusOr<std::int64_t>& revision)
{
    if (!revision.ok()) {
        this->waiters.clear();
        if (this->lost)
            this->lost();
        return;
    }
    auto& state = this->states[page];
    state.revision = *revision;
    state.kept = covered;
    state.writing = false;
    this->tell_waiters();
    this->write(page);
}

void job_pages::tell_waiters()
{
    const auto satisfied = [this](const waiter& one) {
        return std::ranges::all_of(one.needed, [this](const auto& need) {
            return this->states[need.first].kept >= need.second;
        });
    };
    const auto first =
        std::stable_partition(this->waiters.begin(), this->waiters.end(),
                              [&satisfied](const waiter& one) { return !satisfied(one); });
    std::vector<waiter> ready(std::make_move_iterator(first),
                              std::make_move_iterator(this->waiters.end()));
    this->waiters.erase(first, this->waiters.end());
    for (const auto& one : ready)
        one.kept();
}

} // namespace verbenalever
