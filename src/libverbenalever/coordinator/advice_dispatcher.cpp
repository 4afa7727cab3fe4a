#include "coordinator/advice_dispatcher.h"

#include <algorithm>
#include <cmath>

namespace verbenalever {

namespace {

/// Open questions of one VM; the advisor refuses more than 32.
constexpr int max_open_questions = 24;
/// A VM gets no further question that would wait longer than this: questions wait in the
/// coordinator instead, where urgent ones go first.
constexpr milliseconds max_wait_for_vm{40};
/// A short question uses a VM for long questions only when that answers earlier by more than this:
/// a small part of the latency objective of urgent jobs, which is some hundred milliseconds.
constexpr milliseconds long_vm_penalty{15};
/// Minimum fraction of the VMs that may send long questions.
constexpr double min_long_vm_share = 0.55;
/// VMs reserved for short questions: this many times the number that they keep busy on average,
/// since they come in bursts of about twice their usual rate and must not wait, plus an extra.
constexpr double short_vm_reserve_factor = 4;
constexpr double short_vm_reserve_extra = 2;
/// VMs for urgent work alone: this many times the number that its questions keep busy on average,
/// so that a question seldom waits behind another one.
constexpr double urgent_vm_reserve_factor = 2;
/// Maximum fraction of the VMs that are for urgent work alone.
constexpr double max_urgent_vm_share = 0.35;
/// Time constant of the moving average of short questions' cost.
constexpr milliseconds short_work_window{2000};
/// Added to the expected answer time to get the timeout of a question.
constexpr milliseconds answer_timeout_margin{1500};

} // namespace

advice_dispatcher::advice_dispatcher() = default;

advice_dispatcher::~advice_dispatcher()
{
    *this->alive = false;
}

void advice_dispatcher::add_vm(const std::string& vm, question_sender ask)
{
    this->vms[vm] = {.ask = std::move(ask), .registration = ++this->last_registration};
}

void advice_dispatcher::remove_vm(const std::string& vm)
{
    this->vms.erase(vm);
}

void advice_dispatcher::recent_cost::add(milliseconds cost, milliseconds now)
{
    constexpr auto window_ms = static_cast<double>(short_work_window.count());
    this->sum_ms = this->busy_vms(now) * window_ms + static_cast<double>(cost.count());
    this->updated_at = now;
}

double advice_dispatcher::recent_cost::busy_vms(milliseconds now) const
{
    constexpr auto window_ms = static_cast<double>(short_work_window.count());
    const auto age_ms = static_cast<double>((now - this->updated_at).count());
    return this->sum_ms * std::exp(-age_ms / window_ms) / window_ms;
}

std::size_t advice_dispatcher::urgent_vm_count(milliseconds now) const
{
    const auto wanted = this->urgent_questions.busy_vms(now) * urgent_vm_reserve_factor;
    return static_cast<std::size_t>(
        std::min(wanted, max_urgent_vm_share * static_cast<double>(this->vms.size())));
}

std::size_t advice_dispatcher::long_vm_count(milliseconds now) const
{
    const auto vm_count = static_cast<double>(this->vms.size());
    const double busy = this->short_questions.busy_vms(now);
    const double reserved = std::ceil(busy * short_vm_reserve_factor + short_vm_reserve_extra);
    return static_cast<std::size_t>(
        std::max(std::ceil(min_long_vm_share * vm_count), vm_count - reserved));
}

std::size_t advice_dispatcher::free_long_vms() const
{
    const auto now = boot_time();
    auto long_vms_left = this->long_vm_count(now);
    std::size_t free = 0;
    for (const auto& [vm, candidate] : this->vms) {
        if (long_vms_left-- == 0)
            break;
        free +=
            candidate.open_questions < max_open_questions && candidate.busy_until <= now ? 1 : 0;
    }
    return free;
}

advice_dispatcher::vm_state* advice_dispatcher::choose_vm(question_kind kind, milliseconds now,
                                                          milliseconds cost)
{
    const bool is_long = kind == question_kind::long_question;
    const auto long_vm_count = this->long_vm_count(now);
    const auto usable_vms =
        this->vms.size() - (kind == question_kind::urgent ? 0 : this->urgent_vm_count(now));
    vm_state* best = nullptr;
    milliseconds best_end{0};
    std::size_t position = 0;
    for (auto& [vm, candidate] : this->vms) {
        if (position == usable_vms)
            break;
        const bool reserved = position++ >= long_vm_count;
        if (candidate.open_questions >= max_open_questions || (is_long && reserved))
            continue;
        const auto begin = std::max(now, candidate.busy_until);
        if (begin - now > (is_long ? milliseconds(0) : max_wait_for_vm))
            continue;
        // A short question prefers the reserved VMs unless it would wait there.
        const auto penalty = is_long || reserved ? milliseconds(0) : long_vm_penalty;
        if (best == nullptr || begin + cost + penalty < best_end) {
            best = &candidate;
            best_end = begin + cost + penalty;
        }
    }
    return best;
}

bool advice_dispatcher::ask(const advice_question& question, milliseconds cost, bool urgent,
                            answer_callback done)
{
    const auto now = boot_time();
    const auto kind = cost > long_question ? question_kind::long_question
                      : urgent             ? question_kind::urgent
                                           : question_kind::short_question;
    vm_state* chosen = this->choose_vm(kind, now, cost);
    if (chosen == nullptr)
        return false;
    if (kind != question_kind::long_question)
        this->short_questions.add(cost, now);
    if (kind == question_kind::urgent)
        this->urgent_questions.add(cost, now);
    chosen->busy_until = std::max(now, chosen->busy_until) + cost;
    ++chosen->open_questions;
    const auto timeout = chosen->busy_until - now + answer_timeout_margin;
    const auto registration = chosen->registration;
    chosen->ask(
        question, timeout,
        [this, alive = this->alive, registration, done = std::move(done)](advice_answer answer) {
            if (!*alive)
                return;
            for (auto& [vm, candidate] : this->vms) {
                if (candidate.registration != registration)
                    continue;
                if (--candidate.open_questions == 0)
                    candidate.busy_until = boot_time();
            }
            done(std::move(answer));
        });
    return true;
}

} // namespace verbenalever
