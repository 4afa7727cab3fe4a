#include "jobs/job_drivers.h"

#include "jobs/job_context.h"
#include "jobs/job_messenger.h"
#include "jobs/job_notice.h"
#include "jobs/reserve_answer.h"
#include "jobs/task_report.h"
#include "timeline/counters.h"

namespace verbenalever {

namespace {

constexpr milliseconds tick_interval{50};

} // namespace

job_drivers::job_drivers(const job_context& context)
    : context(context), tick_timer(context.loop, [this] { this->tick(); })
{
    this->add_handlers();
    this->tick_timer.start_repeating(tick_interval);
}

void job_drivers::add_handlers()
{
    auto& messenger = this->context.messenger;
    messenger.on<reserve_answer>([this](const std::string& from, const reserve_answer& answer) {
        if (auto* driver = this->find(answer.job))
            driver->apply_reserve_answer(from, answer);
    });
    messenger.on<task_report>([this](const std::string& from, const task_report& report) {
        if (auto* driver = this->find(report.job))
            driver->apply_report(from, report);
    });
}

void job_drivers::cancel(std::string_view job)
{
    if (auto* driver = this->find(job))
        driver->cancel();
}

job_driver* job_drivers::find(std::string_view job)
{
    const auto found = this->drivers.find(job);
    return found == this->drivers.end() ? nullptr : found->second.get();
}

job_driver& job_drivers::add(job_record record)
{
    const auto id = record.id;
    auto& slot = this->drivers[id];
    slot = std::make_unique<job_driver>(this->context, std::move(record));
    return *slot;
}

void job_drivers::start(job_record record, std::int64_t revision)
{
    if (this->contains(record.id))
        return;
    auto& driver = this->add(std::move(record));
    driver.start(revision);
    driver.tick(monotonic_clock::now());
}

void job_drivers::adopt(job_record record, std::int64_t revision)
{
    if (this->releasing || this->contains(record.id))
        return;
    this->add(std::move(record)).adopt(revision);
}

bool job_drivers::contains(std::string_view job) const
{
    return this->drivers.contains(job);
}

std::size_t job_drivers::size() const
{
    return this->drivers.size();
}

void job_drivers::release_all(const std::function<void()>& done)
{
    this->releasing = true;
    const auto remaining = std::make_shared<std::size_t>(1);
    const auto on_driver_released = [this, remaining, done] {
        if (--*remaining != 0)
            return;
        this->context.messenger.send_all(job_notice{.job = "", .what = "released"});
        done();
    };
    for (auto& [id, driver] : this->drivers) {
        ++*remaining;
        driver->release(on_driver_released);
    }
    on_driver_released();
}

void job_drivers::tick()
{
    std::erase_if(this->drivers, [](const auto& entry) { return entry.second->driving_ended(); });
    const auto now = monotonic_clock::now();
    for (auto& [id, driver] : this->drivers)
        driver->tick(now);
    this->context.metrics.set("jobs_driven", static_cast<std::int64_t>(this->drivers.size()));
}

} // namespace verbenalever
