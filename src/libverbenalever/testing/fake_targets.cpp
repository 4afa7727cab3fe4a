#include "testing/fake_targets.h"

#include <algorithm>

namespace verbenalever {

namespace {

std::string format_task(const task_name& task)
{
    return task.workflow + "/" + std::to_string(task.step) + "/" + std::to_string(task.index);
}

} // namespace

fake_targets::fake_targets(event_loop& loop)
    : loop(loop), lease_check_timer(loop, [this] { this->expire_leases(); })
{
    this->lease_check_timer.start_repeating(milliseconds(20));
}

void fake_targets::expire_leases()
{
    for (const auto& [name, current_target] : this->targets) {
        if (!current_target->running.empty() &&
            clock_of(*current_target) > current_target->lease_until_ms)
            this->end_all(name, target_view::ending::lapsed);
    }
}

void fake_targets::renew_lease(target& destination, const order_authority& authority) const
{
    auto until = authority.lease_until_ms;
    if (this->longest_lease.count() > 0)
        until = std::min(until, clock_of(destination) + this->longest_lease.count());
    destination.lease_until_ms = std::max(destination.lease_until_ms, until);
}

void fake_targets::call_later(milliseconds wait, std::function<void()> action)
{
    auto& added = this->timers.emplace_back(std::make_unique<timer>(this->loop, std::move(action)));
    added->start_once(wait);
}

fake_targets::target& fake_targets::add(const std::string& name, std::int64_t processors_milli,
                                        const std::string& zone)
{
    auto added = std::make_unique<target>();
    added->report.name = name;
    added->report.born_ms = 1;
    added->report.pool = "pool";
    added->report.availability_zone = zone;
    added->report.capacity.processors_milli = processors_milli;
    added->report.capacity.memory_mb = 64'000;
    auto& stored = this->targets[name];
    stored = std::move(added);
    return *stored;
}

void fake_targets::publish_targets()
{
    if (this->list_stopped_at.count() != 0)
        return;
    std::vector<target_report> reports;
    for (const auto& [name, current_target] : this->targets) {
        auto& report = reports.emplace_back(current_target->report);
        for (auto& earlier : current_target->earlier_capacities) {
            if (earlier.counts_until.count() == 0)
                earlier.counts_until = boot_time() + this->capacity_allowance;
        }
        if (const auto listed = this->listed_born_ms.find(name);
            listed != this->listed_born_ms.end())
            report.born_ms = listed->second;
    }
    if (this->on_changed)
        this->on_changed(reports);
}

void fake_targets::set_capacity(const std::string& name, const resources& capacity)
{
    auto& changed = *this->targets.at(name);
    changed.earlier_capacities.push_back({changed.report.capacity});
    changed.report.capacity = capacity;
}

void fake_targets::check_capacity(const target& destination, const task_name& started)
{
    resources used;
    for (const auto& [task, run] : destination.running)
        used += this->need_by_workflow[task.workflow];
    // The list may show a different earlier value of each resource, so each counts by itself.
    auto available = destination.report.capacity;
    for (const auto& [capacity, counts_until] : destination.earlier_capacities) {
        if (counts_until.count() != 0 && boot_time() >= counts_until)
            continue;
        available.processors_milli =
            std::max(available.processors_milli, capacity.processors_milli);
        available.memory_mb = std::max(available.memory_mb, capacity.memory_mb);
        available.accelerators = std::max(available.accelerators, capacity.accelerators);
    }
    const auto& need = this->need_by_workflow[started.workflow];
    const auto check = [&](const char* resource, std::int64_t needed, std::int64_t in_use,
                           std::int64_t capacity) {
        if (needed > 0 && in_use > capacity)
            this->violations.push_back("start over the capacity: " + std::to_string(in_use) +
                                       " of " + std::to_string(capacity) + " " + resource + ", " +
                                       destination.report.name);
    };
    check("processors_milli", need.processors_milli, used.processors_milli,
          available.processors_milli);
    check("memory_mb", need.memory_mb, used.memory_mb, available.memory_mb);
    check("accelerators", need.accelerators, used.accelerators, available.accelerators);
}

void fake_targets::restart(const std::string& name)
{
    auto& destination = *this->targets.at(name);
    destination.running.clear();
    destination.ended.clear();
    destination.highest_ended_run.clear();
    destination.last_end_number = 0;
    destination.highest_fencing_token = 0;
    destination.lease_until_ms = 0;
    if (this->clocks_restart)
        destination.clock_started_at = boot_time();
    ++destination.report.born_ms;
    this->answer_polls(name);
    this->publish_targets();
}

void fake_targets::crash(const std::string& name, milliseconds downtime)
{
    auto& destination = *this->targets.at(name);
    if (destination.unresponsive)
        return;
    ++this->crash_count;
    destination.running.clear();
    destination.unresponsive = true;
    this->answer_polls(name);
    this->call_later(downtime, [this, name] {
        this->targets.at(name)->unresponsive = false;
        this->restart(name);
    });
}

bool fake_targets::has_restarted(const target_life& life) const
{
    return this->targets.at(life.name)->report.born_ms != life.born_ms;
}

void fake_targets::start(listener on_changed)
{
    this->on_changed = std::move(on_changed);
    this->call_later(milliseconds(1), [this] { this->publish_targets(); });
}

void fake_targets::stop()
{
    this->on_changed = nullptr;
}

std::size_t fake_targets::running(const std::string& workflow) const
{
    std::size_t count = 0;
    for (const auto& [name, current_target] : this->targets) {
        for (const auto& [task, run] : current_target->running)
            count += task.workflow == workflow ? 1 : 0;
    }
    return count;
}

void fake_targets::start(const target_life& life, const order_authority& authority,
                         const start_order& order, milliseconds timeout, order_callback done)
{
    auto& destination = *this->targets.at(life.name);
    ++this->start_count;
    if (this->on_start)
        this->on_start(order);
    if (this->on_start_at)
        this->on_start_at(destination);
    if (this->on_start_authority)
        this->on_start_authority(authority);
    if (destination.unresponsive) {
        this->call_later(timeout, [done] { done({}); });
        return;
    }
    order_result result{.how = order_result::outcome::done, .clock_ms = clock_of(destination)};
    if (this->has_restarted(life) && !this->executes_starts_for_former_lives)
        result.how = order_result::outcome::target_restarted;
    else if (authority.fencing_token < destination.highest_fencing_token)
        result.how = order_result::outcome::fenced;
    else if (destination.requires_ticket && order.ticket.empty())
        result.how = order_result::outcome::bad_ticket;
    else {
        destination.highest_fencing_token =
            std::max(destination.highest_fencing_token, authority.fencing_token);
        renew_lease(destination, authority);
        const auto ended = destination.highest_ended_run.find(order.task);
        if (destination.lease_until_ms <= result.clock_ms)
            result.how = order_result::outcome::expired;
        else if (ended != destination.highest_ended_run.end() && order.run <= ended->second)
            result.how = order_result::outcome::superseded;
    }
    if (result.how == order_result::outcome::done && !destination.running.contains(order.task)) {
        for (const auto& [name, other] : this->targets) {
            if (!this->detect_duplicate_runs)
                break;
            if (other->running.contains(order.task))
                this->violations.push_back("runs on two targets: " + format_task(order.task));
        }
        if (this->acknowledged_done.contains(order.task))
            this->violations.push_back("started again after an acknowledged end: " +
                                       format_task(order.task));
        destination.running[order.task] = order.run;
        this->check_capacity(destination, order.task);
        if (destination.task_duration.count() > 0 && !destination.is_stalled)
            this->call_later(destination.task_duration, [this, name = life.name, task = order.task,
                                                         run = order.run] {
                const bool fails = this->targets.at(name)->fails_all_tasks;
                this->end(name, task, run,
                          fails ? target_view::ending::failed : target_view::ending::done);
            });
    }
    if (result.how == order_result::outcome::done && this->crashes_on && this->crashes_on(order))
        this->call_later(milliseconds(10),
                         [this, name = life.name] { this->crash(name, this->crash_downtime); });
    if (destination.loses_response && destination.loses_response(order))
        this->call_later(timeout, [done] { done({}); });
    else
        this->call_later(destination.order_delay, [done, result] { done(result); });
}

void fake_targets::stop(const target_life& life, const order_authority&, const task_name& task,
                        std::int64_t run, milliseconds timeout, order_callback done)
{
    if (this->targets.at(life.name)->unresponsive) {
        this->call_later(timeout, [done] { done({}); });
        return;
    }
    if (this->has_restarted(life)) {
        this->call_later(milliseconds(1),
                         [done] { done({.how = order_result::outcome::target_restarted}); });
        return;
    }
    this->call_later(milliseconds(1), [done, clock = clock_of(*this->targets.at(life.name))] {
        done({.how = order_result::outcome::done, .clock_ms = clock});
    });
    this->call_later(this->targets.at(life.name)->stop_delay, [this, name = life.name, task, run] {
        this->end(name, task, run, target_view::ending::stopped);
        // A run that is not there yet is refused from now on.
        auto& highest_ended = this->targets.at(name)->highest_ended_run[task];
        highest_ended = std::max(highest_ended, run);
    });
}

void fake_targets::end(const std::string& name, const task_name& task, std::int64_t run,
                       target_view::ending how)
{
    auto& destination = *this->targets.at(name);
    const auto found = destination.running.find(task);
    if (found == destination.running.end() || found->second != run)
        return;
    destination.running.erase(found);
    destination.highest_ended_run[task] = run;
    destination.ended.push_back({++destination.last_end_number, task, run, how, {}});
    this->answer_polls(name);
}

void fake_targets::end_all(const std::string& name, target_view::ending how)
{
    const auto running = this->targets.at(name)->running;
    for (const auto& [task, run] : running)
        this->end(name, task, run, how);
}

target_view fake_targets::make_view(target& source, std::int64_t acknowledged)
{
    target_view view{.result = {.how = order_result::outcome::done, .clock_ms = clock_of(source)}};
    for (const auto& end : source.ended) {
        if (end.number <= acknowledged && end.how == target_view::ending::done)
            this->acknowledged_done.insert(end.task);
    }
    std::erase_if(source.ended, [&](const auto& end) { return end.number <= acknowledged; });
    for (const auto& [task, run] : source.running) {
        auto percent = source.is_stalled ? 1.0 : this->next_percent();
        if (source.percent_time.count() > 0)
            percent = static_cast<double>(boot_time() / source.percent_time);
        view.running.push_back({task, run, {}, percent});
    }
    view.ended = source.ended;
    if (this->listed_ends_limit > 0 && view.ended.size() > this->listed_ends_limit) {
        view.ended.resize(this->listed_ends_limit);
        view.more_ends = true;
    }
    return view;
}

void fake_targets::answer_polls(const std::string& name)
{
    auto& destination = *this->targets.at(name);
    auto polls = std::move(this->waiting_polls[name]);
    this->waiting_polls[name].clear();
    for (auto& poll : polls) {
        poll.wait_timer->stop();
        if (destination.unresponsive)
            this->call_later(milliseconds(100), [done = poll.done] { done({}); });
        else if (poll.born_ms != destination.report.born_ms)
            poll.done({.result = {.how = order_result::outcome::target_restarted}});
        else
            poll.done(this->make_view(destination, poll.acknowledged));
        this->timers.push_back(std::move(poll.wait_timer));
    }
}

void fake_targets::poll(const target_life& life, const order_authority& authority,
                        std::int64_t acknowledged, milliseconds wait, milliseconds timeout,
                        view_callback done)
{
    auto& destination = *this->targets.at(life.name);
    ++this->poll_count;
    if (this->on_poll)
        this->on_poll(acknowledged);
    if (destination.unresponsive || destination.polls_to_lose > 0) {
        destination.polls_to_lose -= destination.polls_to_lose > 0 ? 1 : 0;
        this->call_later(timeout, [done] { done({}); });
        return;
    }
    const bool former_life = this->has_restarted(life);
    if (former_life && !this->executes_polls_for_former_lives) {
        this->call_later(milliseconds(1), [done] {
            done({.result = {.how = order_result::outcome::target_restarted}});
        });
        return;
    }
    if (authority.fencing_token < destination.highest_fencing_token) {
        this->call_later(milliseconds(1),
                         [done] { done({.result = {.how = order_result::outcome::fenced}}); });
        return;
    }
    destination.highest_fencing_token = authority.fencing_token;
    renew_lease(destination, authority);
    auto view = this->make_view(destination, acknowledged);
    if (former_life)
        view.result.how = order_result::outcome::target_restarted;
    if (!view.ended.empty() || wait.count() == 0) {
        this->call_later(milliseconds(1), [done, view] { done(view); });
        return;
    }
    auto wait_timer =
        std::make_unique<timer>(this->loop, [this, name = life.name] { this->answer_polls(name); });
    wait_timer->start_once(wait);
    this->waiting_polls[life.name].push_back(
        {std::move(done), acknowledged, life.born_ms, std::move(wait_timer)});
}

} // namespace verbenalever
