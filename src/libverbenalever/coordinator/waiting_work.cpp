#include "coordinator/waiting_work.h"

namespace verbenalever {

namespace {

/// @return the sum over this priority and the more urgent ones
waiting_work::amount sum_up_to(const std::map<int, waiting_work::amount>& sums, int priority)
{
    waiting_work::amount total;
    for (const auto& [its_priority, sum] : sums) {
        if (its_priority > priority)
            break;
        total += sum;
    }
    return total;
}

} // namespace

waiting_work::amount& waiting_work::amount::operator+=(const amount& other)
{
    this->workflows += other.workflows;
    this->processors_milli += other.processors_milli;
    this->processor_time += other.processor_time;
    this->questions += other.questions;
    this->question_ms += other.question_ms;
    return *this;
}

waiting_work::amount& waiting_work::amount::operator-=(const amount& other)
{
    this->workflows -= other.workflows;
    this->processors_milli -= other.processors_milli;
    this->processor_time -= other.processor_time;
    this->questions -= other.questions;
    this->question_ms -= other.question_ms;
    return *this;
}

void waiting_work::replace(std::string_view team, std::string_view pool, int priority,
                           const amount& before, const amount& after)
{
    const auto replace_in = [&](sums_by_name& sums, std::string_view name) {
        auto found = sums.find(name);
        if (found == sums.end())
            found = sums.emplace(name, sums_by_priority{}).first;
        auto& sum = found->second[priority];
        sum -= before;
        sum += after;
    };
    replace_in(this->by_team, team);
    replace_in(this->by_pool, pool);
}

waiting_work::amount waiting_work::ahead_in_team(std::string_view team, int priority) const
{
    const auto found = this->by_team.find(team);
    return found == this->by_team.end() ? amount{} : sum_up_to(found->second, priority);
}

waiting_work::amount waiting_work::ahead_in_pool(std::string_view pool, int priority) const
{
    const auto found = this->by_pool.find(pool);
    return found == this->by_pool.end() ? amount{} : sum_up_to(found->second, priority);
}

waiting_work::amount waiting_work::ahead(int priority) const
{
    amount total;
    for (const auto& [pool, sums] : this->by_pool)
        total += sum_up_to(sums, priority);
    return total;
}

} // namespace verbenalever
