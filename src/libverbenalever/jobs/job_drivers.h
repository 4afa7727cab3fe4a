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

/// The jobs that this entry drives.
class job_drivers {
public:
    explicit job_drivers(const job_context& context);

    /// Drive a job that this entry has just created in the store.
    void start(job_record record, std::int64_t revision);

    /// Try to take over a job; the store decides who wins.
    void adopt(job_record record, std::int64_t revision);

    /// A job's cancellation is kept; tell its driver, if it is here.
    void cancel(std::string_view job);

    /// @return whether this entry drives, or tries to take over, the job
    [[nodiscard]] bool contains(std::string_view job) const;

    [[nodiscard]] std::size_t size() const;

    /// Give every job up for other entries to take.
    /// @param done called once each is kept as given up, or lost
    void release_all(const std::function<void()>& done);

    /// Drop those that are over and let the others do what is due.
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
