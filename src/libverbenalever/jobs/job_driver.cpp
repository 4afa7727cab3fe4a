#include "jobs/job_driver.h"

#include "loop/unique_id.h"
#include "platform/kv_client.h"
#include "targets/target_client.h"
#include "targets/target_registry.h"
#include "timeline/event_log.h"

#include <fmt/format.h>

#include <set>

namespace verbenalever {

namespace {

constexpr milliseconds step_interval{100};
constexpr milliseconds task_lease{30000};

} // namespace

job_driver::job_driver(event_loop& loop, kv_client& store, target_registry& registry,
                       target_client& client, placement_policy& placement, const event_log& log,
                       job_record record, std::int64_t revision)
    : store(store), registry(registry), client(client), placement(placement), log(log),
      job(std::move(record)), revision(revision), step_timer(loop, [this] { this->step(); })
{
    this->step_timer.start_repeating(step_interval);
}

const job_record& job_driver::record() const
{
    return this->job;
}

void job_driver::on_finished(std::function<void()> action)
{
    this->finished = std::move(action);
}

std::string job_driver::task_id(std::size_t index) const
{
    return fmt::format("{}.{}", this->job.id, index);
}

void job_driver::step()
{
    if (this->writing)
        return;
    this->place_pending();
    if (!this->writing)
        this->poll();
}

void job_driver::place_pending()
{
    std::vector<std::size_t> placed;
    for (std::size_t i = 0; i < this->job.tasks.size(); ++i) {
        auto& task = this->job.tasks[i];
        if (task.state != "pending")
            continue;
        const auto target = this->registry.place(this->placement, this->job.team, this->job.demand);
        if (!target)
            break;
        task.state = "placed";
        task.target = *target;
        task.attempt = make_unique_id("try");
        placed.push_back(i);
    }
    if (!placed.empty())
        this->keep([this, placed] { this->start_placed(placed); });
}

void job_driver::start_placed(const std::vector<std::size_t>& placed)
{
    for (const auto index : placed)
        this->start(index);
}

void job_driver::start(std::size_t index)
{
    const auto& task = this->job.tasks[index];
    const auto* target = this->registry.find(task.target);
    if (target == nullptr || !this->registry.may_start(*target, monotonic_clock::now()))
        return;
    this->log.write("jobs", "task_start_sent",
                    {{"task", this->task_id(index)},
                     {"attempt", task.attempt},
                     {"target", task.target},
                     {"team", this->job.team}});
    this->client.start_task(target->vm.address,
                            {.task = this->task_id(index),
                             .attempt = task.attempt,
                             .team = this->job.team,
                             .demand = this->job.demand,
                             .lease = task_lease,
                             .command = this->job.command},
                            target->lease_epoch, [](const absl::Status&) {});
}

void job_driver::poll()
{
    std::set<std::string> targets;
    for (const auto& task : this->job.tasks) {
        if (task.state == "placed")
            targets.insert(task.target);
    }
    for (const auto& name : targets) {
        if (const auto* target = this->registry.find(name); target != nullptr)
            this->client.read_inventory(target->vm.address,
                                        [this, name](absl::StatusOr<target_inventory> inventory) {
                                            if (inventory.ok() && !this->writing)
                                                this->take_inventory(name, *inventory);
                                        });
    }
}

void job_driver::take_inventory(const std::string& target, const target_inventory& inventory)
{
    std::vector<std::string> ended;
    for (auto& task : this->job.tasks) {
        if (task.state != "placed" || task.target != target)
            continue;
        for (const auto& seen : inventory.tasks) {
            if (seen.attempt != task.attempt || seen.running())
                continue;
            task.state = seen.state == "succeeded" ? "done" : "failed";
            task.result = seen.result;
            ended.push_back(seen.task);
        }
    }
    if (ended.empty())
        return;
    this->keep([this, target, ended] {
        const auto* record = this->registry.find(target);
        for (const auto& task : ended) {
            this->log.write("jobs", "task_done_recorded", {{"task", task}, {"target", target}});
            if (record != nullptr)
                this->client.forget_task(record->vm.address, task, [](const absl::Status&) {});
            this->registry.release(target, this->job.team, this->job.demand);
        }
        if (this->job.finished() && this->finished) {
            this->step_timer.stop();
            this->finished();
        }
    });
}

void job_driver::keep(std::function<void()> kept)
{
    this->writing = true;
    this->store.put(fmt::format("jobs/{}", this->job.id), this->job.text(), this->revision,
                    [this, kept = std::move(kept)](absl::StatusOr<std::int64_t> written) {
                        this->writing = false;
                        if (!written.ok())
                            return; // the record in memory is written by the next change
                        this->revision = *written;
                        kept();
                    });
}

} // namespace verbenalever
