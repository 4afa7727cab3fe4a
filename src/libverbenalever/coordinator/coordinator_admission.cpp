// Admission of submissions: the sums of waiting work, and refusals by the forecast.

#include "coordination/commit_chain.h"
#include "coordinator/coordinator.h"
#include "coordinator/target_session.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"

#include <algorithm>
#include <string>

namespace verbenalever {

namespace {

/// Until this long after a coordinator's start some targets have not been polled yet, so that the
/// capacity of the fleet is not known.
constexpr milliseconds fleet_discovery_time{3000};
/// Weight of a new question in the moving average of the advisor's time for a step.
constexpr double question_time_smoothing = 0.1;
/// Thousandths of a processor times milliseconds, in a processor second.
constexpr std::int64_t processor_second = 1'000'000;

} // namespace

void coordinator::replace_waiting_work(workflow& owner, const waiting_work::amount& after)
{
    if (after == owner.counted_work)
        return;
    this->work_ahead.replace(owner.record.team, owner.pool, owner.priority, owner.counted_work,
                             after);
    owner.counted_work = after;
}

void coordinator::update_waiting_work(workflow& owner)
{
    waiting_work::amount waiting;
    if (is_final(owner.state)) {
        this->replace_waiting_work(owner, waiting);
        return;
    }
    const auto now = boot_time();
    for (std::size_t number = 0; number < owner.steps.size(); ++number) {
        auto& step = owner.steps[number];
        if (step.waiting_count == 0)
            continue;
        if (step.in_ready_list &&
            admission_forecast::is_useless(now + step.time_to_workflow_end - owner.due_at,
                                           owner.objective)) {
            waiting = {};
            break;
        }
        const auto& spec = owner.record.spec.steps[number];
        if (step.predicted_run.count() == 0) {
            if (const auto& model = this->run_length_models[owner.record.queue];
                model.has_learned())
                step.predicted_run = model.predict(milliseconds(spec.estimated_ms));
        }
        const auto processors = step.waiting_count * spec.need.processors_milli;
        waiting.workflows = 1;
        waiting.processors_milli += processors;
        waiting.processor_time += processors * step.predicted_run.count();
        if (!step.in_ready_list || !step.advice.empty())
            continue;
        if (const auto time = this->question_time.find(owner.record.queue);
            time != this->question_time.end()) {
            ++waiting.questions;
            waiting.question_ms += static_cast<std::int64_t>(time->second);
        }
    }
    this->replace_waiting_work(owner, waiting);
}

void coordinator::learn_question_time(const std::string& queue, milliseconds time)
{
    const auto [average, added] =
        this->question_time.try_emplace(queue, static_cast<double>(time.count()));
    average->second +=
        question_time_smoothing * (static_cast<double>(time.count()) - average->second);
}

admission_forecast::bottleneck coordinator::fleet_bottleneck(std::string_view pool,
                                                             int priority) const
{
    admission_forecast::bottleneck fleet{.ahead = this->work_ahead.ahead_in_pool(pool, priority)};
    const auto capacity = this->capacity_by_pool.find(pool);
    if (capacity == this->capacity_by_pool.end() ||
        boot_time() - this->started_at < fleet_discovery_time)
        return fleet;
    fleet.capacity = capacity->second.processors_milli;
    // Urgent work preempts what runs.
    fleet.used_by_them = priority == 0 ? 0 : capacity->second.used_milli;
    return fleet;
}

admission_forecast::conditions
coordinator::admission_conditions(const workflow_submission& submission,
                                  const queue_definition& queue)
{
    admission_forecast::conditions now{.priority = queue.priority};
    const auto& run_lengths = this->run_length_models[submission.queue];
    // Callers' estimates are often several times too long: no forecast is based on them alone.
    if (!run_lengths.has_learned())
        return now;
    const auto remaining = remaining_times(submission.spec, run_lengths);
    if (remaining.empty())
        return now;
    now.objective = objective_of(queue, milliseconds(std::ranges::max(remaining)));
    for (const auto& step : submission.spec.steps) {
        if (step.after.empty())
            now.processors += step.count * step.need.processors_milli;
    }
    now.team.ahead = this->work_ahead.ahead_in_team(submission.team, queue.priority);
    if (const auto* team = this->definitions.team(submission.team)) {
        now.team.capacity = team->limit.processors_milli;
        now.team.used_by_them =
            this->usage_by_team.processors_in_use(submission.team, queue.priority == 0);
    }
    now.fleet = this->fleet_bottleneck(queue.pool, queue.priority);
    if (queue.needs_advice) {
        now.questions = this->work_ahead.ahead(queue.priority);
        now.advisor_lines = this->dispatcher.vm_count();
    }
    return now;
}

bool coordinator::refuse_by_forecast(const workflow_submission& submission,
                                     const queue_definition& queue, std::uint64_t reply_id)
{
    if (this->env.admission == admission_policy::none)
        return false;
    const auto now = this->admission_conditions(submission, queue);
    const auto refusal = admission_forecast::judge(now);
    if (!refusal)
        return false;
    const auto retry_after_s = admission_forecast::retry_after_refusal(
        queue.priority, refusal->room_after, this->next_spread());
    const auto cause = admission_forecast::cause_name(refusal->why);
    this->env.metrics.add("submissions_refused_deadline_" + std::string(cause));
    this->env.log.write("coordinator", "submission_refused",
                        {{"workflow", submission.id},
                         {"queue", submission.queue},
                         {"team", submission.team},
                         {"cause", cause},
                         {"wait_ms", refusal->wait.count()},
                         {"objective_ms", now.objective.count()},
                         {"retry_after_s", retry_after_s},
                         {"team_ahead", now.team.ahead.workflows},
                         {"team_ahead_core_s", now.team.ahead.processor_time / processor_second},
                         {"team_limit_milli", now.team.capacity},
                         {"team_used_milli", now.team.used_by_them},
                         {"fleet_ahead", now.fleet.ahead.workflows},
                         {"fleet_ahead_core_s", now.fleet.ahead.processor_time / processor_second},
                         {"fleet_milli", now.fleet.capacity},
                         {"questions_ahead", now.questions.questions},
                         {"questions_ahead_ms", now.questions.question_ms}});
    this->send_reply(reply_id, call_outcome::refused, retry_after_s);
    return true;
}

std::int64_t coordinator::retry_after_stall(std::string_view pool, int priority)
{
    const auto backlog =
        std::max(this->chain.expected_commit_delay(),
                 admission_forecast::predict_wait(this->fleet_bottleneck(pool, priority), 0));
    return admission_forecast::retry_after_stall(priority, backlog, this->next_spread());
}

double coordinator::next_spread()
{
    return std::uniform_real_distribution<>(0, 1)(this->spread_random);
}

} // namespace verbenalever
