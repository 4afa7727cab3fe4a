#include "testing/coordinating_process.h"

#include "coordination/commit_chain.h"
#include "coordinator/target_session.h"
#include "loop/event_loop.h"
#include "testing/fake_store.h"
#include "testing/fake_targets.h"
#include "timeline/event_log.h"

#include <algorithm>

namespace verbenalever {

coordinating_process::coordinating_process(event_loop& loop, fake_store& store,
                                           fake_targets& targets, target_directory& directory,
                                           std::shared_ptr<const fleet_configuration> configuration,
                                           const event_log& log, const std::string& vm,
                                           std::function<void(coordinator&)> before_start)
    : loop(loop), store(store), targets(targets), directory(directory),
      configuration(std::move(configuration)), log(log), before_start(std::move(before_start)),
      destroy_timer(loop, [this] { this->previous_coordinator.reset(); }),
      election(loop, store, log, "v/", {vm, "127.0.0.1:1", {}},
               {.won = [this](std::int64_t term,
                              commit_chain& chain) { this->start_coordinator(term, chain); },
                .lost = [this] { this->stop_coordinator(); },
                .coordinator_changed = [](const std::optional<coordinator_record>&) {},
                .coordinator_heard = [] { return false; },
                .candidacy_delay = [] { return milliseconds(0); }})
{
    this->election.start();
}

coordinating_process::~coordinating_process() = default;

void coordinating_process::start_coordinator(std::int64_t term, commit_chain& chain)
{
    this->active_coordinator = std::make_unique<coordinator>(
        coordinator::environment{.loop = this->loop,
                                 .store = this->store,
                                 .orders = this->targets,
                                 .directory = this->directory,
                                 .log = this->log,
                                 .metrics = this->metrics,
                                 .prefix = "v/",
                                 .task_lease = this->task_lease,
                                 .longest_task_lease =
                                     std::max(this->task_lease, this->longest_task_lease),
                                 .unanswered_start_limit = this->unanswered_start_limit,
                                 .ended_retention = milliseconds(60'000),
                                 .usage_half_life = this->usage_half_life,
                                 .past_use_store_interval = this->past_use_store_interval,
                                 .admission = this->admission,
                                 .advisor_questions = this->advisor_questions,
                                 .preemption = this->preemption,
                                 .all_members_answered_within =
                                     [this](milliseconds) { return this->all_members_connected; },
                                 .forget_departed_members = [](milliseconds) {},
                                 .on_fleet_size = [](std::size_t) {}},
        this->election, chain, term, this->configuration);
    if (this->before_start)
        this->before_start(*this->active_coordinator);
    this->active_coordinator->start();
}

void coordinating_process::stop_coordinator()
{
    this->previous_coordinator = std::move(this->active_coordinator);
    this->destroy_timer.start_once(milliseconds(0));
}

} // namespace verbenalever
