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

/// One task of a workflow, as the coordinator knows it.
struct workflow_task {
    enum class phase : std::uint8_t {
        waiting,
        awaiting_target, ///< an earlier coordinator may have started it on a target not heard yet
        placed,
        done,
    };

    phase current_phase = phase::waiting;
    std::int64_t run = 0;                  ///< number of the current run, or of the last one
    std::vector<std::int64_t> failed_runs; ///< each counts once, however often its end is listed
    std::string checkpoint;
    std::int64_t checkpoint_run = 0;        ///< that has told the checkpoint
    fleet_target* target = nullptr;         ///< while placed
    std::uint32_t awaited_target_count = 0; ///< while unseen: lives of targets to hear from

    /// Note what @p reporting_run has saved; nothing when it is empty.
    void update_checkpoint(const std::string& saved, std::int64_t reporting_run)
    {
        if (saved.empty())
            return;
        this->checkpoint = saved;
        this->checkpoint_run = reporting_run;
    }
};

/// What the advisor has said of one target for one step.
struct cached_advice {
    bool allowed = false;
    std::string ticket;
    milliseconds valid_until{0}; ///< boot time
};

/// Room kept on a target.
struct capacity_reservation {
    std::string target;
    std::uint64_t listing = 0; ///< of the target, see fleet_target
    resources need;
};

/// One step of a workflow, as the coordinator knows it.
struct workflow_step {
    std::vector<workflow_task> tasks;
    std::uint32_t waiting_count = 0;
    std::uint32_t done_count = 0;
    /// Targets on which a task of it has failed, and the boot time until which they are avoided.
    std::map<std::string, milliseconds, std::less<>> avoided_until;

    std::map<std::string, cached_advice, std::less<>> advice; ///< by target
    /// Room kept on targets while the advisor is asked again.
    std::vector<capacity_reservation> reserved;
    int open_questions = 0;               ///< questions to the advisor that are open
    milliseconds next_question_at{0};     ///< boot time before which nothing is asked
    int consecutive_missed_answers = 0;   ///< in a row
    milliseconds ready_since{0};          ///< boot time; 0: its turn has not come
    bool in_ready_list = false;           ///< in the list of steps that are ready
    int rank = 0;                         ///< with which it is listed there, within its priority
    milliseconds time_to_workflow_end{0}; ///< estimated time from its start to the workflow's end
    milliseconds next_preemption_at{0};   ///< boot time before which it takes no room from others
    step_time_tracker time_tracker;       ///< where its time goes
};

/// One workflow, as the coordinator knows it.
struct workflow {
    workflow_record record;
    workflow_state state = workflow_state::queued;
    std::vector<workflow_step> steps;
    int priority = 0;
    milliseconds due_at{0};           ///< boot time by which it should have ended
    milliseconds accepted_at{0};      ///< boot time
    milliseconds first_start_at{0};   ///< boot time of its first start; 0: not in this term
    milliseconds ended_at{0};         ///< boot time; 0: it has not ended in this term
    milliseconds objective{0};        ///< time that it should take from its acceptance
    std::int64_t run_number_base = 0; ///< runs of this term are numbered from here
    bool record_stored = false;       ///< its record is kept
    bool end_stored = false;          ///< its end is kept
    bool has_started = false;         ///< a task of it has started
    [[nodiscard]] bool urgent() const
    {
        return this->priority == 0;
    }

    /// @return where a gang stands among gangs; lower ones take room first
    [[nodiscard]] int gang_order(std::uint32_t step) const
    {
        constexpr int ranks = 16; // more than there are within a priority
        return this->priority * ranks + this->steps[step].rank;
    }

    std::uint32_t placed_count = 0; ///< tasks on targets
    std::vector<std::uint64_t>
        replies_after_record_stored; ///< open replies to close once it is kept
    std::vector<placement_entry> starts_after_record_stored;     ///< sent once its record is kept
    std::vector<std::function<void()>> actions_after_end_stored; ///< run when its end is kept
    std::vector<std::uint64_t>
        replies_after_end_stored; ///< open replies to close once its end is kept
};

} // namespace verbenalever
