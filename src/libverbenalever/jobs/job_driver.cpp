#include "jobs/job_driver.h"

#include "jobs/job_mailbox.h"
#include "jobs/job_notice.h"
#include "jobs/job_services.h"
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

job_driver::job_driver(const job_services& services, job_record record)
    : services(services), job(std::move(record)), progress(this->job.tasks.size()),
      pages(this->job, services.records, services.writer),
      finder(services.mailbox, this->job.id, this->job.queue, this->job.team, this->job.demand),
      random_state(static_cast<std::uint32_t>(std::hash<std::string>()(this->job.id)))
{
    this->pages.on_lost([this] { this->lose(); });
}

job_driver::~job_driver() = default;

void job_driver::begin(std::int64_t revision)
{
    this->pages.set_revision(0, revision);
    this->state = phase::driving;
    this->next_cancel_check = monotonic_clock::now() + cancel_check_interval;
}

void job_driver::adopt(std::int64_t revision)
{
    this->pages.set_revision(0, revision);
    this->job.driver = this->services.settings.name;
    ++this->job.epoch;
    this->pages.save({}, [this] { this->read_pages(); });
}

void job_driver::read_pages()
{
    const auto taken = [this] {
        for (std::size_t i = 0; i < this->job.tasks.size(); ++i)
            this->progress[i].recorded = this->job.tasks[i].state != "placed";
        this->state = phase::driving;
        this->services.metrics.add("jobs_adopted");
        this->services.log.write("jobs", "job_adopted",
                                 {{"job", this->job.id}, {"epoch", this->job.epoch}});
    };
    if (this->job.pages() == 1)
        return taken();
    this->services.store.list(
        fmt::format("job_pages/{}/", this->job.id),
        [this, taken, guard = std::weak_ptr(this->alive)](absl::StatusOr<kv_listing> listing) {
            if (guard.expired())
                return;
            if (!listing.ok())
                return this->lose(); // still in this entry's name: the next scan tries again
            for (const auto& entry : listing->entries) {
                const auto digits = entry.key.substr(entry.key.rfind('/') + 1);
                std::size_t page = 0;
                std::from_chars(digits.data(), digits.data() + digits.size(), page);
                if (page == 0 || page >= this->job.pages() ||
                    !this->job.read_page(page, entry.value).ok())
                    continue;
                this->pages.set_revision(page, entry.revision);
            }
            this->pages.save_all(taken);
        });
}

void job_driver::lose()
{
    if (this->state == phase::over)
        return;
    this->services.log.write("jobs", "job_lost", {{"job", this->job.id}});
    this->services.metrics.add("jobs_lost_to_another_driver");
    this->state = phase::over;
    // Should the record still be in this entry's name, adoption takes it up again.
    this->services.mailbox.send(this->services.settings.name,
                                job_notice{.job = this->job.id, .what = "released"});
    if (this->handed_over)
        this->handed_over();
}

const job_record& job_driver::record() const
{
    return this->job;
}

bool job_driver::over() const
{
    return this->state == phase::over;
}

void job_driver::step(monotonic_time now)
{
    this->finder.tick(now);
    if (this->state != phase::driving || this->job.finished)
        return;
    if (!this->job.cancelled)
        this->check_cancelled(now);
    if (this->job.cancelled)
        this->stop_placed(now);
    else if (this->job.gang)
        this->stop_gang_remains(now);
    if (!this->job.cancelled)
        this->place(now);
    this->ask_about_tasks(now);
}

void job_driver::check_cancelled(monotonic_time now)
{
    if (now < this->next_cancel_check)
        return;
    this->next_cancel_check = now + cancel_check_interval;
    this->services.store.get(
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
    this->services.log.write("jobs", "job_cancel_seen", {{"job", this->job.id}});
    this->cancel_pending();
}

void job_driver::cancel_pending()
{
    std::vector<std::size_t> changed{0};
    for (std::size_t i = 0; i < this->job.tasks.size(); ++i) {
        if (this->job.tasks[i].state != "pending")
            continue;
        this->job.tasks[i].state = "cancelled";
        changed.push_back(i);
    }
    this->save_ends(changed, {});
}

void job_driver::stop_placed(monotonic_time now)
{
    constexpr milliseconds repeat_interval{1000};
    std::map<std::string, task_order> orders;
    for (std::size_t i = 0; i < this->job.tasks.size(); ++i) {
        auto& progress = this->progress[i];
        const auto& task = this->job.tasks[i];
        if (task.state != "placed" || now - progress.stop_asked < repeat_interval ||
            progress.holder.empty())
            continue;
        progress.stop_asked = now;
        orders[progress.holder].tasks.push_back(
            {.key = {.task = this->task_id(i), .attempt = task.attempt}, .target = task.target});
    }
    for (auto& [holder, order] : orders) {
        order.job = this->job.id;
        order.action = "stop";
        this->services.mailbox.send(holder, order);
    }
}

void job_driver::hand_over(std::function<void()> done)
{
    if (this->state != phase::driving || this->job.finished) {
        if (this->state == phase::claiming)
            this->state = phase::over;
        return done();
    }
    this->state = phase::handing_over;
    this->handed_over = std::move(done);
    this->job.driver.clear();
    // Every page, so that nothing is left unkept when the next driver reads it.
    this->pages.save_all([this] {
        this->state = phase::over;
        this->handed_over();
    });
}

void job_driver::mark_finished()
{
    this->job.finished = true;
    this->job.finished_wall_us = wall_microseconds();
}

void job_driver::record_end()
{
    this->services.metrics.add("jobs_finished");
    this->services.log.write("jobs", "job_finished",
                             {{"job", this->job.id}, {"state", this->job.state()}});
    this->state = phase::over;
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
