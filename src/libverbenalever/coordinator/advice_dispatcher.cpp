#include "coordinator/advice_dispatcher.h"

#include <algorithm>
#include <cmath>

namespace verbenalever {

namespace {

/// Questions open at one VM; the advisor turns more than 32 away.
constexpr int open_limit = 24;
/// Waiting time at a VM beyond which no further question is given to it: questions wait at the
/// coordinator, where the urgent ones go first.
constexpr milliseconds longest_queue{40};
/// A short question waits this long for a VM of its own before it takes one from the long ones: a
/// small part of an urgent objective of some hundred milliseconds.
constexpr milliseconds short_detour{15};
/// Part of the VMs that take long questions at least.
constexpr double long_share = 0.55;
/// VMs kept for short questions: so many times those that they keep busy on average, since they
/// come in bursts of about twice their usual rate and must not wait, and some more.
constexpr double short_reserve_factor = 4;
constexpr double short_reserve_extra = 2;
/// Time over which the work of short questions is averaged.
constexpr milliseconds short_memory{2000};
/// Time for an answer beyond what was worked out.
constexpr milliseconds answer_slack{1500};

} // namespace

advice_dispatcher::advice_dispatcher() = default;

advice_dispatcher::~advice_dispatcher()
{
    *this->alive = false;
}

void advice_dispatcher::add_vm(const std::string& vm, asker ask)
{
    this->seats[vm] = {.ask = std::move(ask), .serial = ++this->serials};
}

void advice_dispatcher::remove_vm(const std::string& vm)
{
    this->seats.erase(vm);
}

double advice_dispatcher::short_work_at(milliseconds now) const
{
    const auto age = static_cast<double>((now - this->short_at).count());
    return this->short_work * std::exp(-age / static_cast<double>(short_memory.count()));
}

std::size_t advice_dispatcher::long_seats(milliseconds now) const
{
    const auto all = static_cast<double>(this->seats.size());
    const double busy = this->short_work_at(now) / static_cast<double>(short_memory.count());
    const double reserved = std::ceil(busy * short_reserve_factor + short_reserve_extra);
    return static_cast<std::size_t>(std::max(std::ceil(long_share * all), all - reserved));
}

std::size_t advice_dispatcher::free_long_vms() const
{
    const auto now = boot_time();
    auto left = this->long_seats(now);
    std::size_t free = 0;
    for (const auto& [vm, candidate] : this->seats) {
        if (left-- == 0)
            break;
        free += candidate.open < open_limit && candidate.busy_until <= now ? 1 : 0;
    }
    return free;
}

advice_dispatcher::seat* advice_dispatcher::choose(bool is_long, milliseconds now,
                                                   milliseconds cost)
{
    const auto long_seats = this->long_seats(now);
    seat* best = nullptr;
    milliseconds best_end{0};
    std::size_t number = 0;
    for (auto& [vm, candidate] : this->seats) {
        const bool reserved = number++ >= long_seats;
        if (candidate.open >= open_limit || (is_long && reserved))
            continue;
        const auto begin = std::max(now, candidate.busy_until);
        if (begin - now > (is_long ? milliseconds(0) : longest_queue))
            continue;
        // A short question takes a VM of the long ones only when it would wait elsewhere.
        const auto detour = is_long || reserved ? milliseconds(0) : short_detour;
        if (best == nullptr || begin + cost + detour < best_end) {
            best = &candidate;
            best_end = begin + cost + detour;
        }
    }
    return best;
}

bool advice_dispatcher::ask(const advice_question& question, milliseconds cost,
                            answer_callback done)
{
    const auto now = boot_time();
    seat* chosen = this->choose(cost > long_question, now, cost);
    if (chosen == nullptr)
        return false;
    if (cost <= long_question) {
        this->short_work = this->short_work_at(now) + static_cast<double>(cost.count());
        this->short_at = now;
    }
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
