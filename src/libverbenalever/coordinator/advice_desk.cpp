#include "coordinator/advice_desk.h"

#include <algorithm>
#include <cmath>

namespace verbenalever {

namespace {

/// Questions open at one VM; the advisor turns more than 32 away.
constexpr int open_limit = 24;
/// Waiting time at a VM beyond which no further question is given to it: questions wait at the
/// coordinator, where the urgent ones go first.
constexpr milliseconds longest_queue{40};
/// Part of the VMs that take long questions.
constexpr double long_share = 0.55;
/// Time for an answer beyond what was worked out.
constexpr milliseconds answer_slack{1500};

} // namespace

advice_desk::advice_desk() = default;

advice_desk::~advice_desk()
{
    *this->alive = false;
}

void advice_desk::add_vm(const std::string& vm, asker ask)
{
    this->seats[vm] = {.ask = std::move(ask), .serial = ++this->serials};
}

void advice_desk::remove_vm(const std::string& vm)
{
    this->seats.erase(vm);
}

advice_desk::seat* advice_desk::choose(bool is_long, milliseconds now, milliseconds cost)
{
    seat* best = nullptr;
    milliseconds best_end{0};
    const auto long_seats =
        static_cast<std::size_t>(std::ceil(long_share * static_cast<double>(this->seats.size())));
    std::size_t number = 0;
    for (auto& [vm, candidate] : this->seats) {
        if (candidate.open >= open_limit || (is_long && number++ >= long_seats))
            continue;
        const auto begin = std::max(now, candidate.busy_until);
        if (begin - now > (is_long ? milliseconds(0) : longest_queue))
            continue;
        if (best == nullptr || begin + cost < best_end) {
            best = &candidate;
            best_end = begin + cost;
        }
    }
    return best;
}

bool advice_desk::ask(const advice_question& question, milliseconds cost, answer_callback done)
{
    const auto now = boot_time();
    seat* chosen = this->choose(cost > long_question, now, cost);
    if (chosen == nullptr)
        return false;
    chosen->busy_until = std::max(now, chosen->busy_until) + cost;
    ++chosen->open;
    const auto timeout = chosen->busy_until - now + answer_slack;
    const auto serial = chosen->serial;
    chosen->ask(question, timeout,
                [this, alive = this->alive, serial, done = std::move(done)](advice_answer answer) {
                    if (!*alive)
                        return;
                    for (auto& [vm, candidate] : this->seats) {
                        if (candidate.serial != serial)
                            continue;
                        if (--candidate.open == 0)
                            candidate.busy_until = boot_time();
                    }
                    done(std::move(answer));
                });
    return true;
}

} // namespace verbenalever
