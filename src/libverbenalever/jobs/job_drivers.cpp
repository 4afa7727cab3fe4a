#include "jobs/job_drivers.h"

#include "jobs/job_mailbox.h"
#include "jobs/job_notice.h"
#include "jobs/job_services.h"
#include "jobs/reserve_answer.h"
#include "jobs/task_report.h"
#include "timeline/counters.h"

namespace verbenalever {

namespace {

constexpr milliseconds step_interval{50};

} // namespace

job_drivers::job_drivers(const job_services& services)
    : services(services), step_timer(services.loop, [this] { this->step(); })
{
    this->add_handlers();
    this->step_timer.start_repeating(step_interval);
}

void job_drivers::add_handlers()
{
    auto& mailbox = this->services.mailbox;
    mailbox.on<reserve_answer>([this](const std::string& from, const reserve_answer& answer) {
        if (auto* driver = this->find(answer.job))
            driver->take_answer(from, answer);
    });
    mailbox.on<task_report>([this](const std::string& from, const task_report& report) {
        if (auto* driver = this->find(report.job))
            driver->take_report(from, report);
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
    slot = std::make_unique<job_driver>(this->services, std::move(record));
    return *slot;
}

void job_drivers::begin(job_record record, std::int64_t revision)
{
    if (this->contains(record.id))
        return;
    auto& driver = this->add(std::move(record));
    driver.begin(revision);
    driver.step(monotonic_clock::now());
}

void job_drivers::adopt(job_record record, std::int64_t revision)
{
    if (this->handing_over || this->contains(record.id))
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

void job_drivers::hand_over(const std::function<void()>& done)
{
    this->handing_over = true;
    const auto waiting = std::make_shared<std::size_t>(1);
    const auto one_less = [this, waiting, done] {
        if (--*waiting != 0)
            return;
        this->services.mailbox.send_all(job_notice{.job = "", .what = "released"});
        done();
    };
    for (auto& [id, driver] : this->drivers) {
        ++*waiting;
        driver->hand_over(one_less);
    }
    one_less();
}

void job_drivers::step()
{
    std::erase_if(this->drivers, [](const auto& entry) { return entry.second->over(); });
    const auto now = monotonic_clock::now();
    for (auto& [id, driver] : this->drivers)
        driver->step(now);
    this->services.metrics.set("jobs_driven", static_cast<std::int64_t>(this->drivers.size()));
}

} // namespace verbenalever
