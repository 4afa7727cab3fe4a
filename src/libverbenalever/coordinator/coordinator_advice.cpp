// Questions to the advisor, and room kept while they are open.

#include "coordinator/coordinator.h"
#include "coordinator/target_session.h"
#include "timeline/event_log.h"

#include <algorithm>

namespace verbenalever {

namespace {

/// Wait before the advisor is asked again after it was busy.
constexpr milliseconds advice_retry{15};
/// After answers that did not come the wait doubles so many times, to half a second: they show that
/// the advisor, or the way to it, is loaded, and each question asked again loads it more.
constexpr int most_doublings = 5;
/// A survey of the targets' room this old will do for an answer: on a large fleet there are some
/// hundred answers a second, and a survey costs more than all else that follows from one.
constexpr milliseconds survey_age{10};
/// Targets named in one question at most: the advisor takes no more.
constexpr std::size_t question_limit = 100;
/// Targets in one question of several put side by side: with fewer most of the advisor's time would
/// go into its base time, which is that of some 70 targets on the users' sheets.
constexpr std::size_t paying_part = 50;
/// Answers about a step that weigh as much as the experience with its queue.
constexpr double usual_weight = 8;
/// Weight of one answer in the part of the targets that the advisor allows.
constexpr double grant_share_weight = 0.1;

/// @return questions needed for so many targets
std::size_t parts_of(std::size_t targets, std::size_t each)
{
    return (targets + each - 1) / each;
}

/// @return the advisor's time for a question about so many targets
milliseconds cost_of(const queue_definition& queue, std::size_t targets)
{
    return milliseconds(static_cast<std::int64_t>(
        queue.advice_base_ms + queue.advice_target_ms * static_cast<double>(targets) + 1));
}

} // namespace

bool coordinator::learns_whole(const workflow& owner, std::uint32_t number,
                               const queue_definition& queue) const
{
    // Short questions are cheap enough to be put again about whoever has room.
    return owner.record.spec.steps[number].gang && owner.steps[number].advice.empty() &&
           this->targets.size() <= question_limit &&
           cost_of(queue, this->targets.size()) > advice_desk::long_question;
}

void coordinator::reserve(workflow_step& step, const resources& need,
                          const std::vector<fleet_target*>& places)
{
    for (auto* target : places) {
        target->reserved += need;
        step.reserved.push_back({target->report.name, target->registration_id, need});
    }
}

void coordinator::free_reservation(workflow_step& step)
{
    for (const auto& [name, listing, need] : step.reserved) {
        const auto known = this->targets.find(name);
        if (known != this->targets.end() && known->second->registration_id == listing)
            known->second->reserved -= need;
    }
    step.reserved.clear();
}

double coordinator::expected_grant(const workflow& owner, std::uint32_t number) const
{
    const auto found = this->grant_share.find(owner.record.queue);
    const auto usual = found == this->grant_share.end() ? first_grant_share : found->second;
    // Steps of one queue differ: what was said of this one counts as it grows.
    const auto& memory = owner.steps[number].advice;
    const auto allowed =
        std::ranges::count_if(memory, [](const auto& said) { return said.second.allowed; });
    return (static_cast<double>(allowed) + usual * usual_weight) /
           (static_cast<double>(memory.size()) + usual_weight);
}

bool coordinator::ask_advice(workflow& owner, std::uint32_t number, const queue_definition& queue,
                             const std::vector<fleet_target*>& named)
{
    auto& step = owner.steps[number];
    std::size_t parts = 1;
    if (owner.record.spec.steps[number].gang) {
        // The tickets of a gang must all be good at once, so its questions are put side by side.
        const auto least = parts_of(named.size(), question_limit);
        const auto paying = parts_of(named.size(), paying_part);
        parts = std::max(least, std::min(paying, this->desk.free_long_vms()));
    }
    // What a gang asks only to know where it may run leaves the room there to others.
    const bool claims =
        owner.record.spec.steps[number].gang && !this->learns_whole(owner, number, queue);
    bool taken = false;
    for (std::size_t part = 0; part < parts; ++part) {
        const auto begin = named.size() * part / parts;
        const auto end = named.size() * (part + 1) / parts;
        const auto targets = std::span(named).subspan(begin, end - begin);
        taken = this->ask_part(owner, number, queue, targets, claims) || taken;
    }
    if (!taken)
        step.ask_after = boot_time() + advice_retry;
    return taken;
}

bool coordinator::ask_part(workflow& owner, std::uint32_t number, const queue_definition& queue,
                           std::span<fleet_target* const> named, bool claims)
{
    auto& step = owner.steps[number];
    advice_question question{.workflow = owner.record.id, .occurrence = 0, .step = number};
    for (const auto* target : named)
        question.targets.push_back(target->report.name);
    const int order = owner.gang_order(number);
    // Set before, since the answer may come within the call.
    ++step.asking;
    if (claims)
        this->claim(question, order);
    const bool taken = this->desk.ask(question, cost_of(queue, named.size()),
                                      [this, alive = this->alive, id = owner.record.id, number,
                                       claims, order, question](const advice_answer& answer) {
                                          if (!*alive)
                                              return;
                                          if (claims)
                                              this->give_up_claim(question, order);
                                          this->take_advice(id, number, question, answer);
                                      });
    if (taken)
        return true;
    if (claims)
        this->give_up_claim(question, order);
    --step.asking;
    return false;
}

bool coordinator::learn_targets(workflow& owner, std::uint32_t number,
                                const queue_definition& queue)
{
    const auto& need = owner.record.spec.steps[number].need;
    std::vector<fleet_target*> suitable;
    for (const auto& [name, target] : this->targets) {
        if (this->may_use(*target, owner, number) &&
            fleet_target::count_fitting(target->report.capacity, need) > 0)
            suitable.push_back(target.get());
    }
    return !suitable.empty() && this->ask_advice(owner, number, queue, suitable);
}

void coordinator::claim(const advice_question& question, int order)
{
    for (const auto& name : question.targets) {
        if (const auto found = this->targets.find(name); found != this->targets.end())
            found->second->gang_claims.insert(order);
    }
}

void coordinator::give_up_claim(const advice_question& question, int order)
{
    for (const auto& name : question.targets) {
        const auto found = this->targets.find(name);
        if (found == this->targets.end())
            continue;
        // One that was born again since the question was given has none of it.
        auto& claims = found->second->gang_claims;
        if (const auto held = claims.find(order); held != claims.end())
            claims.erase(held);
    }
}

void coordinator::take_advice(const std::string& id, std::uint32_t number,
                              const advice_question& question, const advice_answer& answer)
{
    auto* owner = this->find_workflow(id);
    if (owner == nullptr || is_final(owner->state))
        return;
    auto& step = owner->steps[number];
    --step.asking;
    this->request_pass(milliseconds(0));
    if (!answer.answered) {
        step.ask_after =
            boot_time() + advice_retry * (1 << std::min(most_doublings, step.answers_missed));
        ++step.answers_missed;
        this->around.log.write("coordinator", "advice_missed",
                               {{"workflow", id}, {"step", number}});
        return;
    }
    step.answers_missed = 0;
    for (const auto& name : question.targets)
        step.advice.try_emplace(name);
    const auto valid_until = boot_time() + milliseconds(answer.valid_ms);
    for (const auto& grant : answer.granted)
        step.advice[grant.target] = {true, grant.ticket, valid_until};
    // Whoever waits longest at the advisor has its answer used before others take the room.
    if (step.listed) {
        this->survey_room(survey_age);
        this->consider(*owner, number);
    }
    auto [share, fresh] = this->grant_share.try_emplace(owner->record.queue, first_grant_share);
    share->second += grant_share_weight *
                     (static_cast<double>(answer.granted.size()) /
                          static_cast<double>(std::max<std::size_t>(1, question.targets.size())) -
                      share->second);
}

} // namespace verbenalever
