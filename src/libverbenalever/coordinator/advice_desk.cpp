#include "coordinator/advice_desk.h"

#include <algorithm>

namespace verbenalever {

namespace {

/// Questions open at one VM; the advisor turns more than 32 away.
constexpr int open_limit = 24;
/// Waiting time at a VM beyond which no further question is queued there: the answer would come
/// when the room it asks about has long gone to others.
constexpr milliseconds longest_queue{1500};
/// Of this many VMs, in order of their names, one is kept free of long questions.
constexpr std::size_t short_only_every = 3;
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
    std::size_t number = 0;
    for (auto& [vm, candidate] : this->seats) {
        const bool short_only =
            this->seats.size() > 1 && number++ % short_only_every == short_only_every - 1;
        if (candidate.open >= open_limit || (is_long && short_only))
            continue;
        const auto begin = std::max(now, candidate.busy_until);
        if (begin - now > longest_queue)
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
