#include "jobs/capacity_finder.h"

#include "jobs/job_messenger.h"
#include "jobs/release_request.h"
#include "jobs/reserve_answer.h"
#include "jobs/reserve_request.h"

#include <algorithm>

namespace verbenalever {

namespace {

constexpr milliseconds answer_timeout{700};

} // namespace

capacity_finder::capacity_finder(job_messenger& messenger, std::string job, std::string queue,
                                 std::string team, resources demand)
    : messenger(messenger), job(std::move(job)), queue(std::move(queue)), team(std::move(team)),
      demand(demand), number(static_cast<std::uint64_t>(monotonic_microseconds()))
{
}

bool capacity_finder::busy() const
{
    return this->searching;
}

void capacity_finder::search(std::vector<task_key> tasks, std::vector<std::string> holders,
                             bool all_tasks, found_callback on_found)
{
    this->searching = true;
    this->all_tasks = all_tasks;
    this->wanted = std::move(tasks);
    this->holders.assign(holders.begin(), holders.end());
    this->granted.clear();
    this->on_found = std::move(on_found);
    this->ask_next_holder();
}

void capacity_finder::ask_next_holder()
{
    const bool enough = this->wanted.empty() || (!this->all_tasks && !this->granted.empty());
    if (enough || this->holders.empty())
        return this->finish();
    const auto holder = this->holders.front();
    this->holders.pop_front();
    ++this->number;
    this->answer_deadline = monotonic_clock::now() + answer_timeout;
    this->messenger.send(holder, reserve_request{.number = this->number,
                                                 .job = this->job,
                                                 .queue = this->queue,
                                                 .team = this->team,
                                                 .demand = this->demand,
                                                 .tasks = this->wanted});
}

void capacity_finder::apply_answer(const std::string& from, const reserve_answer& answer)
{
    std::vector<task_reservation> arrived;
    for (const auto& place : answer.granted)
        arrived.push_back({.place = place, .holder = from});
    if (!this->searching || answer.number != this->number)
        return this->release(arrived);
    for (const auto& reserved : arrived) {
        std::erase(this->wanted, reserved.place.key);
        this->granted.push_back(reserved);
    }
    this->ask_next_holder();
}

void capacity_finder::tick(monotonic_time now)
{
    if (this->searching && now >= this->answer_deadline)
        this->ask_next_holder();
}

void capacity_finder::finish()
{
    this->searching = false;
    const auto callback = std::move(this->on_found);
    callback(std::move(this->granted));
}

void capacity_finder::release(const std::vector<task_reservation>& granted)
{
    for (const auto& reserved : granted)
        this->messenger.send(reserved.holder, release_request{.tasks = {reserved.place.key}});
}

} // namespace verbenalever
