// Questions to the advisor, and capacity reserved while they are open.

#include "coordinator/coordinator.h"
#include "coordinator/target_session.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"

#include <algorithm>

namespace verbenalever {

namespace {

/// Delay before the advisor is asked again after no VM was free or no answer came.
constexpr milliseconds advice_retry_delay{15};
/// The delay doubles with each missed answer, at most this many times (to half a second): missed
/// answers show that the advisor or the connection to it is loaded, and retries add to the load.
constexpr int max_retry_doublings = 5;
/// The advisor accepts no more targets in one question.
constexpr std::size_t max_targets_per_question = 100;
/// Targets in each of several parallel questions: with fewer, most of the advisor's time would be
/// its base time, which equals that of some 70 targets in the users' load sheets.
constexpr std::size_t efficient_question_size = 50;
/// On larger fleets a gang asks only about targets with free capacity: each pass looks at all
/// allowed targets of each waiting gang, and the questions of one gang would take many VMs.
constexpr std::size_t max_fleet_to_learn = 400;
/// Weight of a queue's grant rate in the estimate for a step, as a number of answers about targets.
constexpr double queue_grant_rate_weight = 8;
/// Weight of a new answer in the moving average of a queue's grant rate.
constexpr double grant_rate_smoothing = 0.1;

/// @return number of questions needed to ask about all targets
std::size_t question_count(std::size_t targets, std::size_t targets_per_question)
{
    return (targets + targets_per_question - 1) / targets_per_question;
}

/// @return how long the advisor takes for a question about this many targets
milliseconds advisor_time(const queue_definition& queue, std::size_t targets)
{
    return milliseconds(static_cast<std::int64_t>(
        queue.advice_base_ms + queue.advice_target_ms * static_cast<double>(targets) + 1));
}

} // namespace

bool coordinator::asks_whole_fleet(const workflow& owner, std::uint32_t step_index,
                                   const queue_definition& queue,
                                   std::span<fleet_target* const> targets_to_ask) const
{
    const auto& step = owner.steps[step_index];
    // Short questions are cheap enough to be repeated for the targets with free capacity.
    if (!owner.record.spec.steps[step_index].gang || step.asked_all_targets ||
        this->targets.size() > max_fleet_to_learn ||
        advisor_time(queue, this->targets.size()) <= advice_dispatcher::long_question)
        return false;
    // On a fleet that takes several questions the targets with free capacity are tried first.
    return this->targets.size() <= max_targets_per_question || !step.advice.empty() ||
           targets_to_ask.empty();
}

void coordinator::reserve(workflow_step& step, const resources& need,
                          const std::vector<fleet_target*>& placement)
{
    for (auto* target : placement) {
        target->reserved += need;
        step.reserved.push_back({target->report.name, target->registration_id, need});
    }
}

void coordinator::release_reservation(workflow_step& step)
{
    for (const auto& [name, listing, need] : step.reserved) {
        const auto known = this->targets.find(name);
        if (known != this->targets.end() && known->second->registration_id == listing)
            known->second->reserved -= need;
    }
    step.reserved.clear();
}

std::vector<fleet_target*> coordinator::without_duplicates(std::vector<fleet_target*> targets)
{
    std::sort(targets.begin(), targets.end());
    targets.erase(std::unique(targets.begin(), targets.end()), targets.end());
    return targets;
}

double coordinator::expected_grant_rate(const workflow& owner, std::uint32_t step_index) const
{
    const auto found = this->grant_rate.find(owner.record.queue);
    const auto queue_grant_rate =
        found == this->grant_rate.end() ? initial_grant_rate : found->second;
    // Steps of one queue differ, so answers about this step weigh more the more of them there are.
    const auto& advice = owner.steps[step_index].advice;
    const auto allowed =
        std::ranges::count_if(advice, [](const auto& answer) { return answer.second.allowed; });
    return (static_cast<double>(allowed) + queue_grant_rate * queue_grant_rate_weight) /
           (static_cast<double>(advice.size()) + queue_grant_rate_weight);
}

bool coordinator::ask_advisor(workflow& owner, std::uint32_t step_index,
                              const queue_definition& queue,
                              const std::vector<fleet_target*>& targets_to_ask, bool add_claims)
{
    auto& step = owner.steps[step_index];
    std::size_t parts = 1;
    if (owner.record.spec.steps[step_index].gang) {
        // The tickets of a gang must be valid at the same time, so its questions run in parallel.
        const auto min_parts = question_count(targets_to_ask.size(), max_targets_per_question);
        const auto efficient_parts =
            this->economy.max_parts(queue, targets_to_ask.size(), efficient_question_size);
        parts = std::max(min_parts, std::min(efficient_parts, this->dispatcher.free_long_vms()));
    }
    const bool first_question = step.advice.empty() && step.open_questions == 0;
    bool accepted = false;
    milliseconds time{0};
    for (std::size_t part = 0; part < parts; ++part) {
        const auto begin = targets_to_ask.size() * part / parts;
        const auto end = targets_to_ask.size() * (part + 1) / parts;
        const auto targets = std::span(targets_to_ask).subspan(begin, end - begin);
        time += advisor_time(queue, targets.size());
        accepted = this->send_question(owner, step_index, queue, targets, add_claims) || accepted;
    }
    if (accepted && first_question)
        this->learn_question_time(queue.name, time);
    if (!accepted)
        step.next_question_at = boot_time() + advice_retry_delay;
    return accepted;
}

bool coordinator::send_question(workflow& owner, std::uint32_t step_index,
                                const queue_definition& queue,
                                std::span<fleet_target* const> targets_to_ask, bool add_claims)
{
    auto& step = owner.steps[step_index];
    advice_question question{.workflow = owner.record.id, .occurrence = 0, .step = step_index};
    for (const auto* target : targets_to_ask)
        question.targets.push_back(target->report.name);
    const int order = owner.gang_order(step_index);
    // Counted before the call, since the answer may arrive within it.
    ++step.open_questions;
    if (add_claims)
        this->add_gang_claims(question, order);
    const auto time = advisor_time(queue, targets_to_ask.size());
    const bool accepted =
        this->dispatcher.ask(question, time, owner.urgent(),
                             [this, alive = this->alive, id = owner.record.id, step_index,
                              add_claims, order, question](const advice_answer& answer) {
                                 if (!*alive)
                                     return;
                                 if (add_claims)
                                     this->release_gang_claims(question, order);
                                 this->handle_advice_answer(id, step_index, question, answer);
                             });
    if (accepted) {
        this->env.metrics.add("advisor_questions");
        this->env.metrics.add("advisor_ms", time.count());
        ++this->unlogged_questions;
        this->unlogged_question_time += time;
        return true;
    }
    if (add_claims)
        this->release_gang_claims(question, order);
    --step.open_questions;
    return false;
}

bool coordinator::ask_about_unasked_targets(workflow& owner, std::uint32_t step_index,
                                            const queue_definition& queue)
{
    auto& step = owner.steps[step_index];
    const auto& need = owner.record.spec.steps[step_index].need;
    std::vector<fleet_target*> unasked;
    for (const auto& [name, target] : this->targets) {
        if (this->can_use(*target, owner, step_index) && !step.advice.contains(name) &&
            fleet_target::count_fitting(target->report.capacity, need) > 0)
            unasked.push_back(target.get());
    }
    step.asked_all_targets = unasked.empty();
    // These questions only collect advice and must not keep other gangs from the targets.
    if (!unasked.empty())
        this->ask_advisor(owner, step_index, queue, unasked, false);
    return !unasked.empty();
}

void coordinator::add_gang_claims(const advice_question& question, int order)
{
    for (const auto& name : question.targets) {
        if (const auto found = this->targets.find(name); found != this->targets.end())
            found->second->gang_claims.insert(order);
    }
}

void coordinator::release_gang_claims(const advice_question& question, int order)
{
    for (const auto& name : question.targets) {
        const auto found = this->targets.find(name);
        if (found == this->targets.end())
            continue;
        // A target that was replaced since the question was sent does not have the claim.
        auto& claims = found->second->gang_claims;
        if (const auto own_claim = claims.find(order); own_claim != claims.end())
            claims.erase(own_claim);
    }
}

void coordinator::handle_advice_answer(const std::string& id, std::uint32_t step_index,
                                       const advice_question& question, const advice_answer& answer)
{
    auto* owner = this->find_workflow(id);
    if (owner == nullptr || is_final(owner->state))
        return;
    auto& step = owner->steps[step_index];
    --step.open_questions;
    this->request_scheduling_pass(milliseconds(0));
    if (!answer.answered) {
        step.next_question_at =
            boot_time() + advice_retry_delay *
                              (1 << std::min(max_retry_doublings, step.consecutive_missed_answers));
        ++step.consecutive_missed_answers;
        this->env.log.write("coordinator", "advice_missed",
                            {{"workflow", id}, {"step", step_index}});
        return;
    }
    step.consecutive_missed_answers = 0;
    for (const auto& name : question.targets)
        step.advice.try_emplace(name);
    const auto valid_until = boot_time() + milliseconds(answer.valid_ms);
    for (const auto& grant : answer.granted)
        step.advice[grant.target] = {true, grant.ticket, valid_until};
    this->update_waiting_work(*owner);
    // The step is scheduled at once, before others take the capacity that it asked about.
    if (step.in_ready_list)
        this->schedule_step(*owner, step_index);
    auto [current_rate, added] =
        this->grant_rate.try_emplace(owner->record.queue, initial_grant_rate);
    current_rate->second +=
        grant_rate_smoothing *
        (static_cast<double>(answer.granted.size()) /
             static_cast<double>(std::max<std::size_t>(1, question.targets.size())) -
         current_rate->second);
}

} // namespace verbenalever
