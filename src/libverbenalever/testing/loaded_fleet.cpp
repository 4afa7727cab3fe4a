#include "testing/loaded_fleet.h"

#include <ctime>

namespace verbenalever {

namespace {

queue_definition make_queue(const std::string& name, int priority, int attempts, double stretch,
                            int latency_ms, double base_ms, double target_ms)
{
    return {.name = name,
            .pool = "pool",
            .priority = priority,
            .attempts = attempts,
            .stretch = stretch,
            .latency_objective = milliseconds(latency_ms),
            .needs_advice = true,
            .advice_base_ms = base_ms,
            .advice_target_ms = target_ms};
}

} // namespace

milliseconds loaded_fleet::processor_time()
{
    std::timespec now{};
    ::clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
    return milliseconds(std::int64_t{now.tv_sec} * 1000 + now.tv_nsec / 1'000'000);
}

loaded_fleet::loaded_fleet(const size& fleet_size)
{
    auto initial = std::make_shared<fleet_configuration>();
    initial->version = 1;
    initial->queues.push_back(make_queue("quote", 0, 2, 1.5, 250, 14.0, 0.2));
    initial->queues.push_back(make_queue("tension", 1, 3, 2.2, 1000, 420.0, 5.9));
    initial->queues.push_back(make_queue("dispatch", 2, 4, 4.0, 3000, 140.0, 2.0));
    initial->teams.push_back({.name = "team", .keys = {}, .weight = 1, .limit = {}});
    this->configuration = initial;
    this->targets.detect_duplicate_runs = false;
    for (int number = 0; number < fleet_size.targets; ++number)
        this->targets.add("t" + std::to_string(number), fleet_size.processors_milli).task_duration =
            milliseconds(1500);
    this->process = std::make_unique<coordinating_process>(
        this->loop, this->store, this->targets, this->targets, this->configuration, this->log,
        "vm-1", [this, vms = fleet_size.advisor_vms](coordinator& active_coordinator) {
            this->add_advisors(active_coordinator, vms);
        });
    this->run_for(milliseconds(500));
}

void loaded_fleet::add_advisors(coordinator& active_coordinator, int vms)
{
    for (int vm = 0; vm < vms; ++vm)
        active_coordinator.advice_dispatch().add_vm(
            "vm-" + std::to_string(vm), [this](const advice_question& question, milliseconds,
                                               advice_dispatcher::answer_callback done) {
                this->advise(question, std::move(done));
            });
}

void loaded_fleet::advise(const advice_question& question, advice_dispatcher::answer_callback done)
{
    advice_answer answer{.answered = true, .valid_ms = 2000};
    const auto kind = question.workflow.substr(0, question.workflow.find('-'));
    for (const auto& name : question.targets) {
        const auto draw = std::hash<std::string>{}(name + question.workflow) % 100;
        if (static_cast<double>(draw) < 100 * this->grant_rate.at(kind))
            answer.granted.push_back({name, "ticket"});
    }
    const auto* queue = this->configuration->queue(kind);
    auto& answer_timer = this->answers.emplace_back(
        std::make_unique<timer>(this->loop, [answer, done = std::move(done)] { done(answer); }));
    answer_timer->start_once(milliseconds(static_cast<std::int64_t>(
        queue->advice_base_ms +
        queue->advice_target_ms * static_cast<double>(question.targets.size()))));
}

void loaded_fleet::run_for(milliseconds span)
{
    timer end(this->loop, [this] { this->loop.stop(); });
    end.start_once(span);
    this->loop.run();
}

void loaded_fleet::submit(const caller_class& from)
{
    const auto id = from.queue + "-" + std::to_string(++this->submitted);
    const step_spec step{.count = from.width,
                         .need = {.processors_milli = from.need_milli, .memory_mb = 100},
                         .estimated_ms = 1500,
                         .gang = from.gang};
    this->targets.need_by_workflow[id] = step.need;
    this->process->active_coordinator->submit(
        {id, from.queue, "team", {.payload = "p", .steps = {step}}},
        [this](call_outcome outcome, std::int64_t) { ++this->outcomes[outcome]; });
}

void loaded_fleet::load(const std::vector<caller_class>& classes, double factor, milliseconds span)
{
    for (const auto& caller : classes)
        this->grant_rate[caller.queue] = caller.grant_rate;
    constexpr milliseconds slice{10};
    std::map<std::string, double> submissions_due;
    const auto end = boot_time() + span;
    while (boot_time() < end) {
        const auto from = boot_time();
        this->run_for(slice);
        this->lag_samples.push_back(this->lag.lag());
        const auto seconds = static_cast<double>((boot_time() - from).count()) / 1000;
        for (const auto& caller : classes) {
            submissions_due[caller.queue] += caller.rate_per_second * factor * seconds;
            for (; submissions_due[caller.queue] >= 1; submissions_due[caller.queue] -= 1)
                this->submit(caller);
        }
    }
}

} // namespace verbenalever
