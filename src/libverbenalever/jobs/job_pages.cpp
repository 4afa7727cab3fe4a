#include "jobs/job_pages.h"

#include "jobs/record_writer.h"

#include <algorithm>

namespace verbenalever {

job_pages::job_pages(job_record& job, record_writer& records, std::string writer_id)
    : job(job), records(records), writer_id(std::move(writer_id)), states(job.pages())
{
}

void job_pages::set_revision(std::size_t page, std::int64_t revision)
{
    this->states[page].revision = revision;
}

void job_pages::save(std::span<const std::size_t> tasks, std::function<void()> on_stored)
{
    pending_save next{.required_changes = {}, .on_stored = std::move(on_stored)};
    for (const auto index : tasks)
        next.required_changes[index / job_record::tasks_per_page] = 0;
    if (tasks.empty())
        next.required_changes[0] = 0;
    for (auto& [page, count] : next.required_changes)
        count = ++this->states[page].change_count;
    const auto pages = next.required_changes;
    this->pending_saves.push_back(std::move(next));
    for (const auto& [page, count] : pages)
        this->write_page(page);
}

void job_pages::save_all(std::function<void()> on_stored)
{
    std::vector<std::size_t> firsts;
    for (std::size_t page = 0; page < this->states.size(); ++page)
        firsts.push_back(page * job_record::tasks_per_page);
    this->save(firsts, std::move(on_stored));
}

void job_pages::on_ownership_lost(std::function<void()> action)
{
    this->ownership_lost = std::move(action);
}

void job_pages::write_page(std::size_t page)
{
    auto& state = this->states[page];
    if (state.writing || state.stored_count == state.change_count)
        return;
    state.writing = true;
    const auto included_changes = std::make_shared<std::uint64_t>(0);
    const auto guard = std::weak_ptr(this->alive);
    this->records.add(
        {.key = job_record::page_key(this->job.id, page),
         .expected_revision = state.revision,
         .make_text =
             [this, guard, page, included_changes] {
                 if (guard.expired())
                     return std::string();
                 *included_changes = this->states[page].change_count;
                 this->job.writer = this->writer_id;
                 ++this->job.sequence;
                 return this->job.serialize_page(page);
             },
         .done =
             [this, guard, page, included_changes](absl::StatusOr<std::int64_t> revision) {
                 if (!guard.expired())
                     this->page_written(page, *included_changes, revision);
             }});
}

void job_pages::page_written(std::size_t page, std::uint64_t included_changes,
                             const absl::StatusOr<std::int64_t>& revision)
{
    if (!revision.ok()) {
        this->pending_saves.clear();
        if (this->ownership_lost)
            this->ownership_lost();
        return;
    }
    auto& state = this->states[page];
    state.revision = *revision;
    state.stored_count = included_changes;
    state.writing = false;
    this->notify_pending_saves();
    this->write_page(page);
}

void job_pages::notify_pending_saves()
{
    const auto is_stored = [this](const pending_save& save_call) {
        return std::ranges::all_of(save_call.required_changes, [this](const auto& page_change) {
            return this->states[page_change.first].stored_count >= page_change.second;
        });
    };
    const auto first_stored = std::stable_partition(
        this->pending_saves.begin(), this->pending_saves.end(),
        [&is_stored](const pending_save& save_call) { return !is_stored(save_call); });
    std::vector<pending_save> ready(std::make_move_iterator(first_stored),
                                    std::make_move_iterator(this->pending_saves.end()));
    this->pending_saves.erase(first_stored, this->pending_saves.end());
    for (const auto& save_call : ready)
        save_call.on_stored();
}

} // namespace verbenalever
