#include "jobs/room_finder.h"

#include "jobs/job_mailbox.h"
#include "jobs/release_request.h"
#include "jobs/reserve_answer.h"
#include "jobs/reserve_request.h"

#include <algorithm>

namespace verbenalever {

namespace {

constexpr milliseconds answer_timeout{700};

} // namespace

room_finder::room_finder(job_mailbox& mailbox, std::string job, std::string queue, std::string team,
                         resources demand)
    : mailbox(mailbox), job(std::move(job)), queue(std::move(queue)), team(std::move(team)),
      demand(demand), number(static_cast<std::uint64_t>(monotonic_microseconds()))
{
}

bool room_finder::busy() const
{
    return this->searching;
}

void room_finder::search(std::vector<task_key> tasks, std::vector<std::string> holders, bool whole,
                         found_callback found)
{
    this->searching = true;
    this->whole = whole;
    this->wanted = std::move(tasks);
    this->holders.assign(holders.begin(), holders.end());
    this->granted.clear();
    this->found = std::move(found);
    this->ask_next();
}

void room_finder::ask_next()
{
    const bool enough = this->wanted.empty() || (!this->whole && !this->granted.empty());
    if (enough || this->holders.empty())
        return this->finish();
    const auto holder = this->holders.front();
    this->holders.pop_front();
    ++this->number;
    this->answer_due = monotonic_clock::now() + answer_timeout;
    this->mailbox.send(holder, reserve_request{.number = this->number,
                                               .job = this->job,
                                               .queue = this->queue,
                                               .team = this->team,
                                               .demand = this->demand,
                                               .tasks = this->wanted});
}

void room_finder::answer(const std::string& from, const reserve_answer& answer)
{
    std::vector<granted_task> got;
    for (const auto& place : answer.granted)
        got.push_back({.place = place, .holder = from});
    if (!this->searching || answer.number != this->number)
        return this->release(got);
    for (const auto& one : got) {
        std::erase(this->wanted, one.place.key);
        this->granted.push_back(one);
    }
    this->ask_next();
}

void room_finder::tick(monotonic_time now)
{
    if (this->searching && now >= this->answer_due)
        this->ask_next();
}

void room_finder::finish()
{
    this->searching = false;
    const auto tell = std::move(this->found);
    tell(std::move(this->granted));
}

void room_finder::release(const std::vector<granted_task>& granted)
{
    for (const auto& one : granted)
        this->mailbox.send(one.holder, release_request{.tasks = {one.place.key}});
}

} // namespace verbenalever
