#pragma once

#include "coordinator/crash_history.h"
#include "coordinator/placement_log.h"
#include "coordinator/step_time_tracker.h"
#include "coordinator/waiting_work.h"
#include "loop/clock.h"
#include "workflows/workflow_record.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace verbenalever {

class fleet_target;
struct queue_definition;

/// The coordinator's state of one task of a workflow.
struct workflow_task {
    enum class phase : std::uint8_t {
        waiting,
        awaiting_target, ///< may run on a target that has not answered this coordinator yet
        placed,
        done,
    };

    phase current_phase = phase::waiting;
    std::int64_t run = 0; ///< number of the current run, or of the last one
    /// Numbers of the failed runs; each counts once, even if its end is listed again.
    std::vector<std::int64_t> failed_runs;
    crash_history crashes; ///< of targets under its runs
    /// Number of the last run that has discounted earlier crashes, see crash_history::discount().
    std::int64_t sound_run = 0;
    std::string checkpoint;
    std::int64_t checkpoint_run = 0; ///< run that reported the checkpoint
    fleet_target* target = nullptr;  ///< while phase::placed
    /// While phase::awaiting_target: number of placements whose targets have not answered yet.
    std::uint32_t awaited_target_count = 0;
    std::uint32_t preemptions = 0; ///< runs that were stopped for more urgent work in this term

    /// Stores the checkpoint that a run has reported, unless it is empty.
    void update_checkpoint(const std::string& saved, std::int64_t reporting_run)
    {
        if (saved.empty())
            return;
        this->checkpoint = saved;
        this->checkpoint_run = reporting_run;
    }
};

/// The advisor's answer about one target for one step.
struct cached_advice {
    bool allowed = false;
    std::string ticket;
    milliseconds valid_until{0}; ///< time since boot
};

/// Capacity of a target that is reserved for a step.
struct capacity_reservation {
    std::string target;
    std::uint64_t listing = 0; ///< serial number, see fleet_target::registration_id
    resources need;
};

/// The coordinator's state of one step of a workflow.
struct workflow_step {
    std::vector<workflow_task> tasks;
    std::uint32_t waiting_count = 0; ///< tasks in phase::waiting
    std::uint32_t done_count = 0;    ///< tasks in phase::done
    /// For each target on which a task of the step has failed: the time since boot until which no
    /// task of the step is placed there.
    std::map<std::string, milliseconds, std::less<>> avoided_until;

    std::map<std::string, cached_advice, std::less<>> advice; ///< by target
    /// Capacity that is reserved for the step while the advisor renews its expired tickets or while
    /// preempted runs stop.
    std::vector<capacity_reservation> reserved;
    int open_questions = 0;           ///< questions to the advisor without an answer yet
    bool asked_all_targets = false;   ///< whether the advisor was asked about all suitable targets
    milliseconds next_question_at{0}; ///< time since boot before which the advisor is not asked
    int consecutive_missed_answers = 0; ///< questions without answer since the last answer
    milliseconds ready_since{0};        ///< time since boot when it first became ready; 0: not yet
    bool in_ready_list = false;         ///< whether coordinator::ready_steps contains the step
    /// Whether it was last found to exceed its team's limit, or all targets, by itself.
    bool too_large = false;
    int rank = 0; ///< part of its key in ready_steps, see coordinator::rank_of()
    /// Shift of the due time in its key in ready_steps, see coordinator::due_shift_of(). Stored,
    /// since the key must be the same when the step is removed.
    milliseconds due_shift{0};
    /// Estimated time from the start of the step to the end of the workflow.
    milliseconds time_to_workflow_end{0};
    /// Predicted run time of one of its tasks; 0: no run of the queue has ended yet.
    milliseconds predicted_run{0};
    int stalled_runs = 0;       ///< runs that were stopped because they seemed stalled
    bool crashes_seen = false;  ///< a target has crashed under a task of the step
    bool failures_seen = false; ///< a run of a task of the step has failed
    /// Time since boot since when suspects of crashes wait for a target; 0: none waits.
    milliseconds suspects_wait_since{0};
    milliseconds next_preemption_at{0}; ///< time since boot before which the step preempts no runs
    step_time_tracker time_tracker;
};

/// The coordinator's state of one workflow.
struct workflow {
    workflow_record record;
    /// Present or last known definition of its queue, see known_definitions; null only when it has
    /// ended.
    const queue_definition* definition = nullptr;
    std::string pool; ///< of its definition, see coordinator::follow_moved_queues()
    workflow_state state = workflow_state::queued;
    std::vector<workflow_step> steps;
    int priority = 0;
    milliseconds due_at{0};      ///< time since boot: accepted_at plus objective
    milliseconds accepted_at{0}; ///< time since boot
    /// Time since boot of the first start that a target has confirmed in this term; 0: none.
    milliseconds first_start_at{0};
    milliseconds ended_at{0};         ///< time since boot; 0: it has not ended in this term
    milliseconds objective{0};        ///< latency objective: time from acceptance to end
    std::int64_t run_number_base = 0; ///< runs that start in this term have greater numbers
    bool record_stored = false;       ///< the store has its record
    bool end_stored = false;          ///< the store has its record with the final state
    bool has_started = false;         ///< a task of it is known to have started, in any term
    /// An earlier coordinator stored a placement of a task, and has most likely sent its start.
    bool may_have_started = false;
    [[nodiscard]] bool urgent() const
    {
        return this->priority == 0;
    }

    /// @return rank of this gang (a step) among all gangs; gangs of lower rank are placed first
    [[nodiscard]] int gang_order(std::uint32_t step) const
    {
        constexpr int ranks = 16; // more than the number of ranks within a priority
        return this->priority * ranks + this->steps[step].rank;
    }

    waiting_work::amount counted_work; ///< what coordinator::work_ahead counts for it
    /// Runs that are placed on a target and not known to have ended.
    std::uint32_t placed_count = 0;
    /// Ids of the replies to send once the record is stored.
    std::vector<std::uint64_t> replies_after_record_stored;
    /// Placements whose start orders are sent once the record is stored.
    std::vector<placement_entry> starts_after_record_stored;
    /// Called once the workflow's end is stored: each marks the end of one of its runs as stored,
    /// so that the target's report of it can be acknowledged.
    std::vector<std::function<void()>> actions_after_end_stored;
    /// Ids of the replies to send once the end is stored.
    std::vector<std::uint64_t> replies_after_end_stored;
};

} // namespace verbenalever
