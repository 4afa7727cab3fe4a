#include "jobs/job_driver.h"

#include "jobs/job_context.h"
#include "jobs/job_messenger.h"
#include "jobs/job_notice.h"
#include "jobs/task_order.h"
#include "store/kv_client.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"
#include "verbenalever/entry_settings.h"

#include <fmt/format.h>

#include <charconv>

namespace verbenalever {

namespace {

constexpr milliseconds cancel_check_interval{10000};

} // namespace

job_driver::job_driver(const job_context& context, job_record record)
    : context(context), job(std::move(record)), live_states(this->job.tasks.size()),
      pages(this->job, context.records, context.writer),
      finder(context.messenger, this->job.id, this->job.queue, this->job.team, this->job.demand),
      random_state(static_cast<std::uint32_t>(std::hash<std::string>()(this->job.id)))
{
    this->pages.on_ownership_lost([this] { this->end_after_lost_ownership(); });
}

job_driver::~job_driver() = default;

void job_driver::start(std::int64_t revision)
{
    this->pages.set_revision(0, revision);
    this->state = phase::driving;
    this->next_cancel_check = monotonic_clock::now() + cancel_check_interval;
}

void job_driver::adopt(std::int64_t revision)
{
    this->pages.set_revision(0, revision);
    this->job.driver = this->context.settings.name;
    ++this->job.epoch;
    this->pages.save({}, [this] { this->load_pages(); });
}

void job_driver::load_pages()
{
    const auto finish_adoption = [this] {
        for (std::size_t i = 0; i < this->job.tasks.size(); ++i)
            this->live_states[i].end_stored = this->job.tasks[i].state != "placed";
        this->state = phase::driving;
        this->context.metrics.add("jobs_adopted");
        this->context.log.write("jobs", "job_adopted",
                                {{"job", this->job.id}, {"epoch", this->job.epoch}});
    };
    if (this->job.pages() == 1)
        return finish_adoption();
    this->context.store.list(
        fmt::format("job_pages/{}/", this->job.id),
        [this, finish_adoption,
         guard = std::weak_ptr(this->alive)](absl::StatusOr<kv_listing> listing) {
            if (guard.expired())
                return;
            if (!listing.ok())
                return this->end_after_lost_ownership(); // a later scan adopts the job again
            for (const auto& entry : listing->entries) {
                const auto digits = entry.key.substr(entry.key.rfind('/') + 1);
                std::size_t page = 0;
                std::from_chars(digits.data(), digits.data() + digits.size(), page);
                if (page == 0 || page >= this->job.pages() ||
                    !this->job.apply_page(page, entry.value).ok())
                    continue;
                this->pages.set_revision(page, entry.revision);
            }
            this->pages.save_all(finish_adoption);
        });
}

void job_driver::end_after_lost_ownership()
{
    if (this->state == phase::ended)
        return;
    this->context.log.write("jobs", "job_lost", {{"job", this->job.id}});
    this->context.metrics.add("jobs_lost_to_another_driver");
    this->state = phase::ended;
    // If the record still names this entry daemon as the driver, a scan adopts it again.
    this->context.messenger.send(this->context.settings.name,
                                 job_notice{.job = this->job.id, .what = "released"});
    if (this->on_released)
        this->on_released();
}

const job_record& job_driver::record() const
{
    return this->job;
}

bool job_driver::driving_ended() const
{
    return this->state == phase::ended;
}

void job_driver::tick(monotonic_time now)
{
    this->finder.tick(now);
    if (this->state != phase::driving || this->job.finished)
        return;
    if (!this->job.cancelled)
        this->poll_cancellation(now);
    if (this->job.cancelled)
        this->stop_placed_tasks(now);
    else if (this->job.gang)
        this->stop_incomplete_gang(now);
    if (!this->job.cancelled)
        this->place_due_tasks(now);
    this->query_tasks(now);
}

void job_driver::poll_cancellation(monotonic_time now)
{
    if (now < this->next_cancel_check)
        return;
    this->next_cancel_check = now + cancel_check_interval;
    this->context.store.get(
        fmt::format("job_cancels/{}", this->job.id),
        [this, guard = std::weak_ptr(this->alive)](const absl::StatusOr<kv_entry>& entry) {
            if (!guard.expired() && entry.ok())
                this->cancel();
        });
}

void job_driver::cancel()
{
    if (this->state != phase::driving) {
        this->next_cancel_check = {};
        return;
    }
    if (this->job.cancelled || this->job.finished)
        return;
    this->job.cancelled = true;
    this->job.reason = "cancelled";
    this->context.log.write("jobs", "job_cancel_seen", {{"job", this->job.id}});
    this->cancel_pending_tasks();
}

void job_driver::cancel_pending_tasks()
{
    std::vector<std::size_t> changed{0};
    for (std::size_t i = 0; i < this->job.tasks.size(); ++i) {
        if (this->job.tasks[i].state != "pending")
            continue;
        this->job.tasks[i].state = "cancelled";
        changed.push_back(i);
    }
    this->store_changes(changed, {});
}

void job_driver::stop_placed_tasks(monotonic_time now)
{
    constexpr milliseconds repeat_interval{1000};
    std::map<std::string, task_order> orders;
    for (std::size_t i = 0; i < this->job.tasks.size(); ++i) {
        auto& live_state = this->live_states[i];
        const auto& task = this->job.tasks[i];
        if (task.state != "placed" || now - live_state.stop_sent_at < repeat_interval ||
            live_state.holder.empty())
            continue;
        live_state.stop_sent_at = now;
        orders[live_state.holder].tasks.push_back(
            {.key = {.task = this->task_id(i), .attempt = task.attempt}, .target = task.target});
    }
    for (auto& [holder, order] : orders) {
        order.job = this->job.id;
        order.action = "stop";
        this->context.messenger.send(holder, order);
    }
}

void job_driver::release(std::function<void()> done)
{
    if (this->state != phase::driving || this->job.finished) {
        if (this->state == phase::adopting)
            this->state = phase::ended;
        return done();
    }
    this->state = phase::releasing;
    this->on_released = std::move(done);
    this->job.driver.clear();
    // Every page, so that all changes are stored before the next driver reads them.
    this->pages.save_all([this] {
        this->state = phase::ended;
        this->on_released();
    });
}

void job_driver::mark_finished()
{
    this->job.finished = true;
    this->job.finished_wall_us = wall_microseconds();
}

void job_driver::report_finished()
{
    this->context.metrics.add("jobs_finished");
    this->context.log.write("jobs", "job_finished",
                            {{"job", this->job.id}, {"state", this->job.state()}});
    this->state = phase::ended;
}

std::string job_driver::task_id(std::size_t index) const
{
    return fmt::format("{}.{}", this->job.id, index);
}

std::size_t job_driver::index_of(std::string_view task) const
{
    const auto digits = task.substr(task.rfind('.') + 1);
    std::size_t index = this->job.tasks.size();
    std::from_chars(digits.data(), digits.data() + digits.size(), index);
    return index;
}

} // namespace verbenalever
