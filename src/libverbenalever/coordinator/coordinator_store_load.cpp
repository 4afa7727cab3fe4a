// Loads workflows, progress and placements from the store when a coordinator starts.

#include "coordinator/coordinator.h"
#include "coordinator/crash_progress.h"
#include "membership/message_codec.h"
#include "ports/metadata_store.h"
#include "timeline/event_log.h"

#include <algorithm>
#include <optional>

namespace verbenalever {

namespace {

/// Wait before a page that could not be read is requested again.
constexpr milliseconds retry_wait{200};

} // namespace

milliseconds coordinator::time_without_load_progress() const
{
    if (this->loaded || this->last_load_progress.count() == 0)
        return milliseconds(0);
    return boot_time() - this->last_load_progress;
}

void coordinator::load_page(const std::string& prefix, const std::string& after)
{
    if (this->last_load_progress.count() == 0)
        this->last_load_progress = boot_time();
    this->env.store.list(prefix, after, [this, alive = this->alive, prefix, after](auto page) {
        if (!*alive)
            return;
        if (!page.ok()) {
            this->env.log.write(
                "coordinator", "load_retried",
                {{"prefix", prefix}, {"reason", std::string(page.status().message())}});
            this->load_retry_timer = std::make_unique<timer>(
                this->env.loop, [this, prefix, after] { this->load_page(prefix, after); });
            this->load_retry_timer->start_once(retry_wait);
            return;
        }
        this->last_load_progress = boot_time();
        this->apply_loaded_page(prefix, *page);
    });
}

void coordinator::apply_loaded_page(const std::string& prefix, const store_page& page)
{
    const bool records = prefix == this->record_prefix();
    const bool progress = prefix == this->progress_prefix();
    this->loaded_keys += page.items.size();
    for (const auto& item : page.items) {
        if (records)
            this->load_records(item.key, item.value);
        else if (progress)
            this->load_progress(item.key, item.value);
        else
            this->load_placements(item.key, item.value);
    }
    if (page.more && !page.items.empty())
        this->load_page(prefix, page.items.back().key);
    else if (records)
        this->load_page(this->progress_prefix(), {});
    else if (progress)
        this->load_page(this->placement_prefix(), {});
    else
        this->finish_load();
}

void coordinator::load_placements(const std::string& key, std::string_view value)
{
    this->inherited_placement_keys.push_back(key);
    auto entries = placement_log::decode(value);
    if (!entries.ok()) {
        this->env.log.write("coordinator", "placements_unreadable", {{"key", key}});
        return;
    }
    const auto term = placement_log::term_of(this->placement_prefix(), key);
    for (const auto& entry : *entries) {
        this->inherited_batches.add(term, entry.written_ms);
        this->mark_awaiting_target(entry, term);
    }
}

void coordinator::mark_awaiting_target(const placement_entry& entry, std::int64_t term)
{
    auto* owner = this->find_workflow(entry.workflow);
    if (owner == nullptr || is_final(owner->state) || entry.step >= owner->steps.size() ||
        entry.index >= owner->steps[entry.step].tasks.size())
        return;
    auto& step = owner->steps[entry.step];
    auto& task = step.tasks[entry.index];
    if (task.current_phase == workflow_task::phase::done)
        return;
    owner->may_have_started = true;
    const auto& need = owner->record.spec.steps[entry.step].need;
    if (task.current_phase == workflow_task::phase::waiting) {
        task.current_phase = workflow_task::phase::awaiting_target;
        --step.waiting_count;
        this->usage_by_team.add_possible_run(owner->record.team, need);
    }
    task.run = std::max(task.run, entry.run);
    ++task.awaited_target_count;
    this->awaited_placements[entry.target].push_back({entry, need, term});
}

void coordinator::load_records(const std::string& key, std::string_view value)
{
    auto records_of_key = record_log::decode(value);
    if (!records_of_key.ok()) {
        this->env.log.write("coordinator", "record_unreadable",
                            {{"key", key}, {"bytes", value.size()}});
        return;
    }
    std::vector<std::string> current;
    std::vector<std::string> outdated;
    for (auto& record : *records_of_key) {
        const auto* known = this->find_workflow(record.id);
        // An ended workflow never becomes open again, so the record of its end is the newest. One
        // that was cancelled before it was submitted got its queue later.
        const bool newer = known == nullptr ||
                           (is_final(record.stored_state()) && !is_final(known->state)) ||
                           (record.submitted() && !known->record.submitted());
        (newer ? current : outdated).push_back(record.id);
        if (!newer)
            continue;
        auto& loaded_workflow = this->add_workflow(std::move(record));
        loaded_workflow.record_stored = true;
        loaded_workflow.end_stored = is_final(loaded_workflow.state);
        if (const auto& stored = loaded_workflow.record; !stored.reason.empty())
            this->env.log.write("coordinator", "workflow_failed_earlier",
                                {{"workflow", stored.id},
                                 {"queue", stored.queue},
                                 {"team", stored.team},
                                 {"ended_ms", stored.ended_ms},
                                 {"reason", stored.reason}});
    }
    this->records.add_inherited_key(key, current, outdated);
}

void coordinator::load_progress(const std::string& key, std::string_view value)
{
    auto entries = progress_log::parse(value);
    if (!entries.ok()) {
        this->env.log.write("coordinator", "progress_unreadable", {{"key", key}});
        return;
    }
    std::erase_if(*entries,
                  [this](const progress_entry& entry) { return !this->apply_progress(entry); });
    this->progress.add_inherited_key(key, *entries);
}

bool coordinator::apply_progress(const progress_entry& entry)
{
    auto* owner = this->find_workflow(entry.workflow);
    // The record of an ended workflow supersedes its progress.
    if (owner == nullptr || is_final(owner->state) || entry.step >= owner->steps.size() ||
        entry.index >= owner->steps[entry.step].tasks.size())
        return false;
    const auto evidence = crash_evidence_of(entry);
    const bool unseen =
        evidence == crash_evidence::unconfirmed || evidence == crash_evidence::unanswered;
    (unseen ? owner->may_have_started : owner->has_started) = true;
    auto& step = owner->steps[entry.step];
    auto& task = step.tasks[entry.index];
    task.run = std::max(task.run, entry.run);
    if (entry.run >= task.checkpoint_run)
        task.update_checkpoint(entry.checkpoint, entry.run);
    const bool gang = owner->record.spec.steps[entry.step].gang;
    if (entry.how == static_cast<int>(progress_entry::ending::failed)) {
        // Failures of any member of a gang are counted at its first task.
        step.failures_seen = true;
        auto& failed = (gang ? step.tasks[0] : task).failed_runs;
        if (std::ranges::find(failed, entry.run) == failed.end())
            failed.push_back(entry.run);
    }
    if (evidence) {
        step.crashes_seen = true;
        task.crashes.add({.run = entry.run,
                          .evidence = *evidence,
                          .target = entry.target,
                          .born_ms = entry.target_born_ms});
    }
    if (entry.how == static_cast<int>(progress_entry::ending::outlived_start))
        task.sound_run = std::max(task.sound_run, entry.run);
    task.crashes.discount(task.sound_run); // entries may be loaded in any order
    if (entry.how != static_cast<int>(progress_entry::ending::done))
        return true;
    // The tasks of a gang end together: the end of one completes all.
    const auto first_index = gang ? std::size_t{0} : entry.index;
    const auto end_index = gang ? step.tasks.size() : entry.index + std::size_t{1};
    for (auto index = first_index; index < end_index; ++index) {
        if (step.tasks[index].current_phase == workflow_task::phase::done)
            continue;
        step.tasks[index].current_phase = workflow_task::phase::done;
        --step.waiting_count;
        ++step.done_count;
    }
    return true;
}

void coordinator::finish_load()
{
    this->loaded = true;
    this->store_definitions();
    std::size_t unfinished = 0;
    std::size_t unconfirmed = 0; // workflows of which only placements show that they may run
    for (auto& [id, entry] : this->workflows) {
        this->remembered_cancels += entry->record.submitted() ? 0 : 1;
        if (is_final(entry->state))
            continue;
        ++unfinished;
        unconfirmed += entry->may_have_started && !entry->has_started ? 1 : 0;
        this->add_ready_steps(*entry);
    }
    this->env.log.write("coordinator", "loaded",
                        {{"term", this->term},
                         {"workflows", this->workflows.size()},
                         {"open", unfinished},
                         {"unconfirmed", unconfirmed},
                         {"keys", this->loaded_keys},
                         {"unseen_targets", this->awaited_placements.size()},
                         {"ms", (boot_time() - this->started_at).count()}});
    this->find_inherited_losses();
    this->apply_directory(this->latest_reports);
    const auto actions = std::move(this->deferred_calls);
    this->deferred_calls.clear();
    for (const auto& run_action : actions)
        run_action();
    this->load_past_use();
    this->request_scheduling_pass();
}

} // namespace verbenalever
