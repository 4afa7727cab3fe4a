#include "testing/fake_targets.h"

#include <algorithm>

namespace verbenalever {

namespace {

std::string text_of(const task_name& task)
{
    return task.workflow + "/" + std::to_string(task.step) + "/" + std::to_string(task.index);
}

} // namespace

fake_targets::fake_targets(event_loop& loop)
    : loop(loop), lapse_timer(loop, [this] { this->lapse(); })
{
    this->lapse_timer.start_repeating(milliseconds(20));
}

void fake_targets::lapse()
{
    const auto now = boot_time().count();
    for (const auto& [name, known] : this->targets) {
        if (!known->running.empty() && now > known->lease_until_ms)
            this->end_all(name, target_view::ending::lapsed);
    }
}

void fake_targets::extend(target& on, const order_authority& authority)
{
    on.lease_until_ms = std::max(on.lease_until_ms, authority.lease_until_ms);
}

void fake_targets::later(milliseconds wait, std::function<void()> action)
{
    auto& made = this->timers.emplace_back(std::make_unique<timer>(this->loop, std::move(action)));
    made->start_once(wait);
}

fake_targets::target& fake_targets::add(const std::string& name, std::int64_t processors_milli,
                                        const std::string& zone)
{
    auto made = std::make_unique<target>();
    made->report.name = name;
    made->report.born_ms = 1;
    made->report.pool = "pool";
    made->report.availability_zone = zone;
    made->report.capacity.processors_milli = processors_milli;
    made->report.capacity.memory_mb = 64'000;
    auto& placed = this->targets[name];
    placed = std::move(made);
    return *placed;
}

void fake_targets::publish_targets()
{
    std::vector<target_report> reports;
    for (const auto& [name, known] : this->targets)
        reports.push_back(known->report);
    if (this->changed)
        this->changed(reports);
}

void fake_targets::restart(const std::string& name)
{
    auto& on = *this->targets.at(name);
    on.running.clear();
    on.ended.clear();
    on.last_end_number = 0;
    on.fence = 0;
    on.lease_until_ms = 0;
    ++on.report.born_ms;
    this->answer_looks(name);
    this->publish_targets();
}

bool fake_targets::is_other_life(const target_life& life) const
{
    return this->targets.at(life.name)->report.born_ms != life.born_ms;
}

void fake_targets::start(listener told)
{
    this->changed = std::move(told);
    this->later(milliseconds(1), [this] { this->publish_targets(); });
}

void fake_targets::stop()
{
    this->changed = nullptr;
}

std::size_t fake_targets::running(const std::string& workflow) const
{
    std::size_t count = 0;
    for (const auto& [name, known] : this->targets) {
        for (const auto& [task, run] : known->running)
            count += task.workflow == workflow ? 1 : 0;
    }
    return count;
}

void fake_targets::start(const target_life& life, const order_authority& authority,
                         const start_order& order, milliseconds timeout, order_callback done)
{
    auto& on = *this->targets.at(life.name);
    ++this->start_count;
    if (this->on_start)
        this->on_start(order);
    if (this->on_start_authority)
        this->on_start_authority(authority);
    if (on.unresponsive) {
        this->later(timeout, [done] { done({}); });
        return;
    }
    order_result result{.how = order_result::outcome::done, .clock_ms = boot_time().count()};
    if (this->is_other_life(life))
        result.how = order_result::outcome::target_restarted;
    else if (authority.fencing_token < on.fence)
        result.how = order_result::outcome::fenced;
    else {
        on.fence = std::max(on.fence, authority.fencing_token);
        extend(on, authority);
        if (on.lease_until_ms <= result.clock_ms)
            result.how = order_result::outcome::expired;
    }
    if (result.how == order_result::outcome::done && !on.running.contains(order.task)) {
        for (const auto& [name, other] : this->targets) {
            if (!this->detect_duplicate_runs)
                break;
            if (other->running.contains(order.task))
                this->violations.push_back("two places: " + text_of(order.task));
        }
        if (this->acknowledged_done.contains(order.task))
            this->violations.push_back("again after an acknowledged end: " + text_of(order.task));
        on.running[order.task] = order.run;
        resources used;
        for (const auto& [task, run] : on.running)
            used += this->need_by_workflow[task.workflow];
        if (used.processors_milli > on.report.capacity.processors_milli)
            this->violations.push_back("more than it has: " + life.name);
        if (on.task_duration.count() > 0 && !on.is_stalled)
            this->later(
                on.task_duration, [this, name = life.name, task = order.task, run = order.run] {
                    const bool fails = this->targets.at(name)->fails_all_tasks;
                    this->end(name, task, run,
                              fails ? target_view::ending::failed : target_view::ending::done);
                });
    }
    if (on.loses_response && on.loses_response(order))
        this->later(timeout, [done] { done({}); });
    else
        this->later(on.order_delay, [done, result] { done(result); });
}

void fake_targets::stop(const target_life& life, const order_authority&, const task_name& task,
                        std::int64_t run, milliseconds timeout, order_callback done)
{
    if (this->targets.at(life.name)->unresponsive) {
        this->later(timeout, [done] { done({}); });
        return;
    }
    if (this->is_other_life(life)) {
        this->later(milliseconds(1),
                    [done] { done({.how = order_result::outcome::target_restarted}); });
        return;
    }
    this->later(milliseconds(1), [this, name = life.name, task, run, done] {
        done({.how = order_result::outcome::done, .clock_ms = boot_time().count()});
        this->end(name, task, run, target_view::ending::stopped);
    });
}

void fake_targets::end(const std::string& name, const task_name& task, std::int64_t run,
                       target_view::ending how)
{
    auto& on = *this->targets.at(name);
    const auto found = on.running.find(task);
    if (found == on.running.end() || found->second != run)
        return;
    on.running.erase(found);
    on.ended.push_back({++on.last_end_number, task, run, how, {}});
    this->answer_looks(name);
}

void fake_targets::end_all(const std::string& name, target_view::ending how)
{
    const auto running = this->targets.at(name)->running;
    for (const auto& [task, run] : running)
        this->end(name, task, run, how);
}

target_view fake_targets::view_of(target& from, std::int64_t acknowledged)
{
    target_view view{
        .result = {.how = order_result::outcome::done, .clock_ms = boot_time().count()}};
    for (const auto& end : from.ended) {
        if (end.number <= acknowledged && end.how == target_view::ending::done)
            this->acknowledged_done.insert(end.task);
    }
    std::erase_if(from.ended, [&](const auto& end) { return end.number <= acknowledged; });
    for (const auto& [task, run] : from.running)
        view.running.push_back({task, run, {}, from.is_stalled ? 1.0 : this->next_percent()});
    view.ended = from.ended;
    return view;
}

void fake_targets::answer_looks(const std::string& name)
{
    auto& on = *this->targets.at(name);
    auto polls = std::move(this->waiting[name]);
    this->waiting[name].clear();
    for (auto& poll : polls) {
        poll.until->stop();
        if (on.unresponsive)
            this->later(milliseconds(100), [done = poll.done] { done({}); });
        else if (poll.born_ms != on.report.born_ms)
            poll.done({.result = {.how = order_result::outcome::target_restarted}});
        else
            poll.done(this->view_of(on, poll.acknowledged));
        this->timers.push_back(std::move(poll.until));
    }
}

void fake_targets::poll(const target_life& life, const order_authority& authority,
                        std::int64_t acknowledged, milliseconds wait, milliseconds timeout,
                        view_callback done)
{
    auto& on = *this->targets.at(life.name);
    ++this->poll_count;
    if (on.unresponsive) {
        this->later(timeout, [done] { done({}); });
        return;
    }
    if (this->is_other_life(life)) {
        this->later(milliseconds(1),
                    [done] { done({.result = {.how = order_result::outcome::target_restarted}}); });
        return;
    }
    if (authority.fencing_token < on.fence) {
        this->later(milliseconds(1),
                    [done] { done({.result = {.how = order_result::outcome::fenced}}); });
        return;
    }
    on.fence = authority.fencing_token;
    extend(on, authority);
    const auto view = this->view_of(on, acknowledged);
    if (!view.ended.empty() || wait.count() == 0) {
        this->later(milliseconds(1), [done, view] { done(view); });
        return;
    }
    auto until =
        std::make_unique<timer>(this->loop, [this, name = life.name] { this->answer_looks(name); });
    until->start_once(wait);
    this->waiting[life.name].push_back(
        {std::move(done), acknowledged, life.born_ms, std::move(until)});
}

} // namespace verbenalever
