#pragma once

#include "coordinator/placement_log.h"
#include "coordinator/step_time_tracker.h"
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
    std::string checkpoint;
    std::int64_t checkpoint_run = 0; ///< run that reported the checkpoint
    fleet_target* target = nullptr;  ///< while phase::placed
    /// While phase::awaiting_target: number of placements whose targets have not answered yet.
    std::uint32_t awaited_target_count = 0;

    /// Keeps the checkpoint that a run has reported, unless it is empty.
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
    milliseconds valid_until{0}; ///< boot time
};

/// Capacity of a target that is reserved for a step.
struct capacity_reservation {
    std::string target;
    std::uint64_t listing = 0; ///< serial number, see fleet_target::listing
    resources need;
};

/// The coordinator's state of one step of a workflow.
struct workflow_step {
    std::vector<workflow_task> tasks;
    std::uint32_t waiting_count = 0; ///< tasks in phase::waiting
    std::uint32_t done_count = 0;    ///< tasks in phase::done
    /// Boot time until which the step avoids a target where one of its tasks has failed, by target.
    std::map<std::string, milliseconds, std::less<>> avoided_until;

    std::map<std::string, cached_advice, std::less<>> advice; ///< by target
    /// Capacity reserved while expired tickets are renewed.
    std::vector<capacity_reservation> reserved;
    int open_questions = 0;               ///< questions to the advisor without an answer yet
    milliseconds next_question_at{0};     ///< boot time before which the advisor is not asked
    int consecutive_missed_answers = 0;   ///< questions without answer since the last answer
    milliseconds ready_since{0};          ///< boot time when it first became ready; 0: not yet
    bool in_ready_list = false;           ///< whether the coordinator's ready_steps has it
    int rank = 0;                         ///< part of its key there, see coordinator::rank_of
    milliseconds time_to_workflow_end{0}; ///< estimated, from the start of the step
    milliseconds next_preemption_at{0};   ///< boot time before which it preempts no runs
    step_time_tracker time_tracker;
};

/// The coordinator's state of one workflow.
struct workflow {
    workflow_record record;
    workflow_state state = workflow_state::queued;
    std::vector<workflow_step> steps;
    int priority = 0;
    milliseconds due_at{0};      ///< boot time: accepted_at plus objective
    milliseconds accepted_at{0}; ///< boot time
    /// Boot time of the first start that a target has confirmed in this term; 0: none.
    milliseconds first_start_at{0};
    milliseconds ended_at{0};         ///< boot time; 0: it has not ended in this term
    milliseconds objective{0};        ///< latency objective: time from acceptance to end
    std::int64_t run_number_base = 0; ///< runs of this term are numbered above it
    bool record_stored = false;       ///< the store has its record
    bool end_stored = false;          ///< the store has its record with the final state
    bool has_started = false;         ///< a task of it has started, in any term
    [[nodiscard]] bool urgent() const
    {
        return this->priority == 0;
    }

    /// @return order of a gang among all gangs; lower ones are placed first
    [[nodiscard]] int gang_order(std::uint32_t step) const
    {
        constexpr int ranks = 16; // more than the number of ranks within a priority
        return this->priority * ranks + this->steps[step].rank;
    }

    std::uint32_t placed_count = 0; ///< runs on targets
    /// Ids of the replies to send once the record is stored.
    std::vector<std::uint64_t> replies_after_record_stored;
    /// Placements whose start orders are sent once the record is stored.
    std::vector<placement_entry> starts_after_record_stored;
    /// Called once the end is stored: they mark ends of runs as recorded.
    std::vector<std::function<void()>> actions_after_end_stored;
    /// Ids of the replies to send once the end is stored.
    std::vector<std::uint64_t> replies_after_end_stored;
};

} // namespace verbenalever
