#pragma once

#include "jobs/job_driver.h"
#include "loop/timer.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace verbenalever {

struct job_context;

/// The jobs that this entry daemon drives.
class job_drivers {
public:
    explicit job_drivers(const job_context& context);

    /// Drive a job that this entry daemon has just created in the store.
    void start(job_record record, std::int64_t revision);

    /// Try to adopt a job; the compare-and-swap on its first page decides whether that succeeds.
    void adopt(job_record record, std::int64_t revision);

    /// Cancel a job, after its cancellation was stored, if this entry daemon drives it.
    void cancel(std::string_view job);

    /// @return whether this entry daemon drives the job or is adopting it
    [[nodiscard]] bool contains(std::string_view job) const;

    [[nodiscard]] std::size_t size() const;

    /// Release every job, so that other entry daemons can adopt them.
    /// @param done called once each job's release is stored or another entry daemon drives it
    void release_all(const std::function<void()>& done);

    /// Remove the drivers that have ended and run the due actions of the others.
    void tick();

private:
    void add_handlers();
    [[nodiscard]] job_driver* find(std::string_view job);
    job_driver& add(job_record record);

    const job_context& context;
    bool releasing = false;
    std::map<std::string, std::unique_ptr<job_driver>, std::less<>> drivers;
    timer tick_timer;
};

} // namespace verbenalever
