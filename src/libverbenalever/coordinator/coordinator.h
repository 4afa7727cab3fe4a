#pragma once

#include "coordinator/admission_forecast.h"
#include "coordinator/admission_policy.h"
#include "coordinator/advice_dispatcher.h"
#include "coordinator/advice_economy.h"
#include "coordinator/advisor_question_policy.h"
#include "coordinator/call_outcome.h"
#include "coordinator/fleet_target.h"
#include "coordinator/free_capacity_index.h"
#include "coordinator/known_definitions.h"
#include "coordinator/placement_history.h"
#include "coordinator/placement_log.h"
#include "coordinator/preemption_policy.h"
#include "coordinator/progress_log.h"
#include "coordinator/record_log.h"
#include "coordinator/run_length_model.h"
#include "coordinator/stop_avoidance.h"
#include "coordinator/target_loss_log.h"
#include "coordinator/team_usage_tracker.h"
#include "coordinator/waiting_work.h"
#include "coordinator/workflow.h"
#include "coordinator/workflow_submission.h"
#include "coordinator/zone_silence_detector.h"
#include "loop/timer.h"
#include "ports/fleet_configuration.h"
#include "ports/target_orders.h"
#include "ports/target_view.h"

#include <absl/status/status.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace verbenalever {

class commit_chain;
class counters;
class event_log;
class event_loop;
class leadership;
class metadata_store;
class target_directory;
struct preemptible_run;
struct preemption_plan;
struct preemption_rule;
struct step_candidate;
class step_placer;
struct store_page;
class usage_history;

/// Schedules all workflows of the cluster; exists only in the process that is elected.
///
/// Durable state is in the key-value store: a record of each workflow, a progress log with the ends
/// of runs, and a placement log with the target of each run. Which tasks are running is known
/// only to the targets. Before a new coordinator restarts a task that an earlier one may have
/// started, it polls the target of that placement or waits until the task's lease has expired.
class coordinator {
public:
    /// Interfaces, settings and callbacks that the owner of the coordinator provides.
    struct environment {
        event_loop& loop;
        metadata_store& store;
        target_orders& orders;
        target_directory& directory;
        const event_log& log;
        counters& metrics;
        std::string prefix;         ///< prefix of this product's keys in the store
        milliseconds task_lease{0}; ///< a task stops when its lease was not renewed this long
        milliseconds longest_task_lease{0}; ///< targets shorten longer leases to this
        /// Time after which a start order without an answer is not executed any more.
        milliseconds unanswered_start_limit{0};
        milliseconds ended_retention{0}; ///< how long records of ended workflows stay in the store
        /// Time after which the past use of a team counts half in the order of waiting work; 0:
        /// past use is neither counted nor stored.
        milliseconds usage_half_life{0};
        milliseconds past_use_store_interval{10'000}; ///< shortest time between two writes of it
        admission_policy admission = admission_policy::none;
        advisor_question_policy advisor_questions = advisor_question_policy::minimal;
        preemption_policy preemption = preemption_policy::any;
        /// @return whether every recently seen member is connected to this process and has
        /// answered a heartbeat that was sent to it within the given time, so that none of them had
        /// been elected instead before that
        std::function<bool(milliseconds)> all_members_answered_within;
        /// Stop counting members whose connection closed before this time since boot as
        /// disconnected.
        std::function<void(milliseconds)> forget_departed_members;
        /// Called with the number of targets in the platform's list whenever the list is read.
        std::function<void(std::size_t)> on_fleet_size = [](std::size_t) {};
    };

    /// @param chain writes to the store, fenced by this coordinator's term
    /// @param term  grows with each change of coordinator; targets use it as fencing token
    coordinator(environment env, leadership& election, commit_chain& chain, std::int64_t term,
                std::shared_ptr<const fleet_configuration> configuration);
    ~coordinator();
    coordinator(const coordinator&) = delete;
    coordinator& operator=(const coordinator&) = delete;

    /// Starts to read the stored workflows and to poll the targets.
    void start();

    /// Uses a new configuration from the next scheduling pass on.
    void apply_configuration(std::shared_ptr<const fleet_configuration> configuration);

    /// Called with the outcome of a submission and, when it is refused, with the recommended delay
    /// before a retry in seconds; 0: none is known.
    using submit_callback = std::function<void(call_outcome, std::int64_t retry_after_s)>;

    /// Accepts a workflow and replies once its record is stored. Submitting a known id again
    /// starts nothing new and gets the reply of the first submission; one that was cancelled before
    /// its submission arrived is accepted as cancelled. Before the store has been read the call is
    /// deferred, as are status() and cancel().
    void submit(workflow_submission submission, submit_callback reply);

    /// Replies with the state of a workflow.
    void status(const std::string& id, std::function<void(call_outcome, workflow_state)> reply);

    /// Ends a workflow, stops its tasks and replies once the end is stored. The cancel of an
    /// unknown workflow is stored too, so that a submission that is still on its way never runs;
    /// the reply is `not_found` then, or `refused` when too many such cancels are stored.
    void cancel(const std::string& id, std::function<void(call_outcome)> reply);

    /// @return number of stored workflows of the queue of which no task has started
    [[nodiscard]] std::int64_t count_waiting(std::string_view queue) const;

    /// @return sums of the waiting work of all open workflows
    [[nodiscard]] const waiting_work& waiting() const
    {
        return this->work_ahead;
    }

    /// @return the dispatcher, for adding and removing the VMs that can reach the advisor
    [[nodiscard]] advice_dispatcher& advice_dispatch()
    {
        return this->dispatcher;
    }

    /// @return whether all stored records have been read, so that calls are answered
    [[nodiscard]] bool is_loaded() const
    {
        return this->loaded;
    }

    /// @return how long no part of the stored state was read while it is being loaded
    [[nodiscard]] milliseconds time_without_load_progress() const;

private:
    /// How long a coordinator that cannot reach the store renews the leases of tasks: a little
    /// longer than its own lease, after which another coordinator may have been elected. One task
    /// lease later nothing that it has started runs any more. It does not resign: while no process
    /// can reach the store none can be elected, and otherwise its first write or order fails and
    /// shows the successor.
    static constexpr milliseconds renewal_grace{1500};

    /// Order of the ready steps: priority, rank (see rank_of()), due time of the workflow in
    /// milliseconds since boot plus workflow_step::due_shift, workflow id, step index.
    using ready_key = std::tuple<int, int, std::int64_t, std::string, std::uint32_t>;

    // Definitions of queues and teams (coordinator_definitions.cpp).
    /// Let the open workflows of queues that are sent to another pool wait for its targets.
    void follow_moved_queues();
    /// Read the stored definitions, again when that fails, and then the records.
    void load_definitions();
    /// Store the definitions if they differ from the stored ones.
    void store_definitions();
    /// Forget the definitions of removed queues and teams that no workflow uses.
    void forget_unused_definitions();
    /// @return whether the task, or its gang, has failed as often as its queue allows
    [[nodiscard]] static bool has_used_attempts(const workflow& owner, std::uint32_t step_index,
                                                std::uint32_t index);
    /// @return whether a waiting task of the step may not start again, since the queue allows fewer
    /// attempts than when the task failed last
    [[nodiscard]] static bool has_exhausted_task(const workflow& owner, std::uint32_t step_index);
    /// Fail the workflows of which a pass has found that they have such a task.
    void fail_exhausted_workflows();

    // Loading the store (coordinator_store_load.cpp).
    /// Request the keys of @p prefix that follow @p after; request them again when that fails.
    void load_page(const std::string& prefix, const std::string& after);
    /// Load each item, then request the next page or the next prefix.
    void apply_loaded_page(const std::string& prefix, const store_page& page);
    void load_records(const std::string& key, std::string_view value);
    void load_placements(const std::string& key, std::string_view value);
    /// Prevent a task from being placed until the target on which it may already run has answered
    /// a poll.
    /// @param term of the coordinator that stored the placement
    void mark_awaiting_target(const placement_entry& entry, std::int64_t term);
    void load_progress(const std::string& key, std::string_view value);
    /// Apply a stored result to its workflow. @return false when the workflow no longer needs
    /// the result
    [[nodiscard]] bool apply_progress(const progress_entry& entry);
    /// List the ready steps, add the targets and run the calls that waited for the load.
    void finish_load();

    // Targets (coordinator_targets.cpp).
    /// Add, update and remove targets according to the platform's list.
    void apply_directory(const std::vector<target_report>& reports);
    void add_target(const target_report& report);
    /// Log that the list shows another capacity of a target than before.
    void log_capacity_change(const fleet_target& target, const resources& capacity) const;
    /// @return the fencing token for a target that is added: greater than for its former life
    [[nodiscard]] std::int64_t fencing_token_for(const std::string& target);
    void remove_target(const std::string& name, std::string_view reason);
    /// Called every check_interval: remove targets that no longer exist, mark runs whose lease has
    /// expired as lost, resend unanswered orders and update the fleet's total capacity.
    void check_targets();
    /// Mark the runs of a target whose lease has expired as lost, except those that a later life of
    /// the target may be running.
    void mark_expired_runs_lost(fleet_target& target, milliseconds now);
    /// @return whether the store has confirmed this term within renewal_grace
    [[nodiscard]] bool confirmed_by_store() const;
    /// @return whether no other coordinator can have been elected yet, as far as is known
    [[nodiscard]] bool may_renew_leases() const;

    // What earlier coordinators placed (coordinator_adoption.cpp).
    /// Called when a target has answered a poll: the tasks that earlier
    /// coordinators placed there no longer wait for that answer.
    void end_wait_for_poll(const std::string& target_name);
    /// A placement by an earlier coordinator whose target has not answered in this term.
    struct awaited_placement {
        placement_entry placement;
        resources need; ///< counted as a possible run of the team until the placement is resolved
        std::int64_t term = 0; ///< of the coordinator that stored it
    };
    /// @return how long after the start of this coordinator, at the latest, all runs have ended
    /// that the placement's target or its next life may have begun
    /// @param restarted whether the target is known to have begun a new life since the placement
    [[nodiscard]] milliseconds longest_inherited_run(const awaited_placement& entry,
                                                     bool restarted) const;
    /// Handle placements by earlier coordinators of which it is known whether they still run, or
    /// that none of them can. A task that was not found running is requeued, unless it has another
    /// placement on a target that has not answered yet.
    void resolve_inherited_placements(const std::vector<awaited_placement>& entries);
    /// Stop waiting for targets that were restarted or on which all leases of earlier terms have
    /// expired; once no target is awaited, remove the placements that earlier coordinators stored.
    void update_adoption();

    // Starts that may be executed late (coordinator_late_starts.cpp).
    /// @return whether the next life of its target may execute a start order for the run
    [[nodiscard]] static bool may_start_in_next_life(const placed_run& placed);
    /// @return time since boot at which the run has ended if the next life of its target has begun
    /// it
    [[nodiscard]] static milliseconds next_life_expiry(const fleet_target& target,
                                                       const placed_run& placed);
    /// Remember a start that the next life of its target may execute, before the run is given up.
    static void add_unresolved_start(fleet_target& target, const task_name& task,
                                     const placed_run& placed);
    /// Store with the placement of a run that a start order for it had no answer, for a successor.
    void store_unanswered_start(const fleet_target& target, const task_name& task,
                                placed_run& placed);
    /// Keep the unresolved starts of a target that is removed until it returns.
    void keep_unresolved_starts(const fleet_target& target);
    /// Let the tasks of the unresolved starts of a target that began a new life wait until the new
    /// life has confirmed that it refuses them, or until it cannot be running them any more.
    void hold_tasks_of_unresolved_starts(const std::string& target);
    /// Let a held task wait for a target again.
    /// @param reason for the log
    void release_held_task(const task_name& task, unresolved_start& start, std::string_view reason);
    /// Release the held tasks of targets that did not return in time.
    void release_overdue_tasks(milliseconds now);
    void restore_unresolved_starts(fleet_target& target);
    /// Order the target to stop the unresolved starts, so that it refuses them.
    void stop_unresolved_starts(fleet_target& target);
    /// Release the tasks held for starts that were stopped before a poll was sent (at @p sent)
    /// whose answer has been applied, and forget these starts.
    void resolve_stopped_starts(fleet_target& target, milliseconds sent);

    // Crashes of targets (coordinator_crashes.cpp).
    /// A run that was on a target when it crashed.
    struct implicated_run {
        task_name task;
        std::int64_t run = 0;
        crash_evidence evidence = crash_evidence::bystander;
        bool recent = false;    ///< it may have been started shortly before the target was lost
        bool started = false;   ///< its start was confirmed
        bool listed = false;    ///< a poll has shown it
        bool stopping = false;  ///< a stop order for it was on its way
        bool inherited = false; ///< an earlier coordinator placed it
    };
    /// One life of a target.
    struct target_identity {
        std::string name;
        std::int64_t born_ms = 0;
    };
    /// The runs of a life of a target of which it is not known how it ended.
    struct lost_life {
        std::int64_t born_ms = 0;
        milliseconds lost_at{0}; ///< time since boot at which the runs were given up
        std::vector<implicated_run> runs;
    };
    /// @return the started runs of a target, with the evidence against each if it has crashed
    [[nodiscard]] std::vector<implicated_run> assess_crash(const fleet_target& target) const;
    /// Keep the evidence against runs that are given up until it is known whether their target has
    /// crashed or was cut off.
    void remember_lost_life(const fleet_target& target, const std::vector<implicated_run>& runs);
    /// Called when a target is seen: when its life is a new one, the life before has crashed.
    void resolve_lost_life(const std::string& target, std::int64_t born_ms);
    /// Remember the loss of a target. When several of its zone, or with one of its labels, are lost
    /// by now, probe others of that group: idle targets are not polled otherwise.
    void record_target_loss(const fleet_target& target);
    /// Selects targets that may be lost together.
    using target_group = std::function<bool(const target_report&)>;
    /// @return the group of the target's zone, and of each of its labels
    [[nodiscard]] static std::vector<target_group> groups_of(const target_report& report);
    /// @return how many targets of the group may have been lost at the same moment as the named one
    [[nodiscard]] std::size_t count_losses(const std::string& name,
                                           const target_group& in_group) const;
    /// @return whether the target was lost together with its zone, or with nearly all targets that
    /// share a label with it, such as that of their rack
    [[nodiscard]] bool lost_with_its_group(const std::string& target) const;
    /// Count the crash of a target against the runs that were on it, unless its group was lost.
    void count_crash(const target_identity& target, const std::vector<implicated_run>& runs);
    /// Store the crash under one run; fail the workflow when its task causes the crashes.
    void count_crashed_run(workflow& owner, const implicated_run& implicated,
                           const target_identity& target);
    /// Called when a poll shows a run: when it has outlived the time in which tasks crash their
    /// targets, earlier crashes do not count any more.
    void discount_crashes(const task_name& name, const placed_run& placed);
    /// @return whether the task, or its gang, may crash targets
    [[nodiscard]] bool is_suspect(const workflow& owner, std::uint32_t step_index,
                                  std::uint32_t index) const;
    /// @return whether no run has started on the target shortly before
    [[nodiscard]] static bool is_quiet(const fleet_target& target, milliseconds now);
    /// @param may_share whether other runs may have started there shortly before
    /// @return those that are allowed now, by the number of their runs
    [[nodiscard]] static std::vector<step_candidate>
    candidates_for_suspects(const std::vector<step_candidate>& candidates, bool may_share);
    /// Place waiting suspects of a step that is no gang, each apart from other starts.
    /// @param candidates those that become isolated are removed
    /// @return how many of the @p allowed tasks need no other target: suspects that are placed or
    /// wait, and all tasks of the step while one of them is the only suspect of a crash
    std::uint32_t place_suspects(workflow& owner, std::uint32_t step_index,
                                 std::vector<step_candidate>& candidates, std::uint32_t allowed);
    /// Remove candidates on which a run was started shortly before, unless the gang that may crash
    /// targets has waited long for others.
    static void keep_quiet_candidates(workflow_step& step, std::vector<step_candidate>& candidates);
    /// Find out from the inherited placements which targets may have been lost together.
    void find_inherited_losses();
    /// @return whether the target restarted so soon after the placement that the lease of the run
    /// had not ended, and not together with its zone or rack
    [[nodiscard]] bool restarted_soon_after(const placement_entry& placement) const;
    /// Count a crash, or keep the evidence until the target is seen, for runs that earlier
    /// coordinators placed.
    void count_inherited_crashes(const target_identity& target,
                                 const std::vector<placement_entry>& placements,
                                 bool target_restarted);
    /// Called when the target has answered a poll.
    void record_answer(const fleet_target& target);
    /// Keep a target free of other starts while a suspect starts there.
    static void isolate(fleet_target& target, bool until_end);
    /// Called when a start is confirmed.
    static void update_isolation(fleet_target& target, const placed_run& placed);

    // Results of polls (coordinator_polls.cpp).
    void apply_poll_result(fleet_target& target, const target_view& view, milliseconds sent);
    void apply_running_task(fleet_target& target, const target_view::running_task& row);
    /// Update the percent of a run, and stop the run when it is stalled.
    void detect_stall(fleet_target& target, const target_view::running_task& row,
                      placed_run& placed);
    /// @param gang whether for a member of a gang
    /// @return how long the percent of a run of the step may stay the same on a sound target
    [[nodiscard]] milliseconds stall_time_of(const workflow& owner, std::uint32_t step_index,
                                             bool gang) const;
    /// Add a run that a target reports and this coordinator does not know; stop the run when its
    /// task does not need it.
    void adopt_run(fleet_target& target, const target_view::running_task& row);
    /// Mark the runs as lost that the target confirmed before it was sent the poll (at @p sent) and
    /// that its answer does not contain.
    void detect_missing_runs(fleet_target& target, const std::set<task_name>& seen,
                             milliseconds sent);

    // Orders (coordinator_targets.cpp).
    /// @return whether the platform's list was read recently enough for starts: capacities that
    /// have shrunk since are not known
    [[nodiscard]] bool list_is_recent() const;
    /// Poll some targets, also idle ones, of each zone that may be silent: nothing starts there
    /// until one of them answers.
    void probe_suspected_zones();
    /// Poll the target repeatedly while it has runs.
    void update_polling(fleet_target& target);
    /// Order a run to stop; a run whose start was not sent is only removed.
    void stop_run(fleet_target& target, const task_name& task, std::int64_t run);

    // Ends of runs (coordinator_run_ends.cpp).
    /// @return false when the end was reported before
    bool apply_run_end(fleet_target& target, const target_view::ended_task& end);
    /// Mark a task as done, or all tasks of its gang. @return whether it was not done before
    bool mark_task_done(workflow& owner, const task_name& task, std::int64_t run);
    /// Count a failed run; fail the workflow after as many as its queue allows attempts.
    /// @return whether the run was not counted before
    bool count_failed_run(workflow& owner, const task_name& task, std::int64_t run);
    /// Remove a run and free its resources. @return whether its workflow is known
    bool remove_run(fleet_target& target, const task_name& task);
    /// Let a placed task wait for a target again.
    void requeue_task(workflow& owner, const task_name& task);
    void learn_run_length(const placed_run& placed, const task_name& task);
    /// Called when the store has the effects of a run's end: the next poll of the target
    /// acknowledges the end.
    void mark_end_stored(const std::string& target, std::int64_t born_ms, std::int64_t number);
    /// Remove a run that has ended without a known result, and requeue its task.
    void mark_run_lost(fleet_target& target, const task_name& task, std::string_view reason);
    /// Stop all runs of a step.
    void stop_step(workflow& owner, std::uint32_t step_index);
    void end_workflow(workflow& owner, workflow_state state);
    /// End a workflow as failed.
    /// @param reason for the log and the record: the runs that decided it
    void fail_workflow(workflow& owner, std::string reason);
    /// Called when the store has the end of a workflow.
    void handle_end_stored(const std::string& id);
    void stop_workflow(workflow& owner);

    // Scheduling (coordinator_scheduling.cpp, _candidates.cpp, _advice.cpp, _starts.cpp,
    // _preemption.cpp).
    /// Runs a scheduling pass after @p wait, or later when the pause after the last pass has not
    /// ended by then.
    void request_scheduling_pass(milliseconds wait = milliseconds(2));
    /// Tries to schedule the ready steps in their order.
    void run_scheduling_pass();
    using ready_iterator = std::set<ready_key>::iterator;
    /// Schedules ready steps in their order, from @p at on, until @p most have been evaluated.
    /// @param reranked receives the steps that need another place among the ready steps
    /// @return the key of the first step that was not scheduled; empty if there is none
    std::optional<ready_key>
    schedule_steps(ready_iterator at, int most,
                   std::vector<std::pair<workflow*, std::uint32_t>>& reranked);
    /// Schedules a ready step and records what it still waits for.
    /// @return false when it waits for its team's limit or for the advisor
    bool schedule_step(workflow& owner, std::uint32_t step_index);
    /// Places waiting tasks of the step; for the rest asks the advisor or preempts other runs.
    /// @return false when the step waits for its team's limit or for the advisor
    bool place_or_ask_advisor(workflow& owner, std::uint32_t step_index);
    /// @return rank of the step among ready steps of the same priority; lower ones are scheduled
    /// first. It depends on how late the workflow is; while the team uses more than its share, the
    /// step ranks after all others.
    [[nodiscard]] int rank_of(const workflow& owner, std::uint32_t step_index) const;
    /// Sum the capacity of the usable targets and the weights of the teams.
    void update_fleet_capacity();
    [[nodiscard]] ready_key ready_key_of(const workflow& owner, std::uint32_t step_index) const;
    /// Stops a run to free capacity for @p preemptor; the task of the run waits for a target again.
    /// @param reason for the log: "limit" when the team's limit is used up, "room" when the target
    ///               has too little free capacity, "gang" when the preemptor is a gang
    void preempt_run(const preemptible_run& run, const workflow& preemptor,
                     std::string_view reason);
    /// Stops the runs of the plans that are needed; see preempt_run().
    /// @param need of one task
    void carry_out(std::span<preemption_plan> plans, const resources& need,
                   const workflow& preemptor, std::string_view reason);
    /// @return which runs a step of the workflow may preempt
    [[nodiscard]] preemption_rule rule_for(const workflow& preemptor, bool only_harmless) const;
    void count_unneeded_stops(std::size_t stops);
    /// Counts each run that preemption_policy::least does not stop, unless it was counted before.
    void count_avoided_stops(std::span<const preemptible_run> runs);
    /// Preempts less urgent runs of the same team until @p tasks of the urgent step fit its team's
    /// limit.
    void preempt_for_team_limit(workflow& owner, std::uint32_t step_index, std::uint32_t tasks);
    /// Preempts less urgent runs on targets that the urgent step may use, or asks the advisor
    /// about such targets.
    /// @return whether runs were preempted or targets were named to the advisor
    bool preempt_for_capacity(workflow& owner, std::uint32_t step_index, std::uint32_t wanted);
    /// Preempts less urgent runs with checkpoints on targets that the advisor has allowed, until
    /// all tasks of the gang fit at once. The capacity is reserved for the gang, and its tickets
    /// are renewed meanwhile.
    /// @return whether the gang now waits for stopped runs or for the advisor
    bool preempt_for_gang(workflow& owner, std::uint32_t step_index, const queue_definition& queue,
                          std::uint32_t wanted);
    /// Counts the runs that are not stopped for the gang and would be with preemption_policy::any.
    void count_avoided_for_gang(const workflow& owner, std::uint32_t step_index,
                                std::uint32_t wanted);
    /// @return plans for tasks of the gang on all targets that the advisor has allowed, least lost
    /// work first, at most @p wanted; none when not all tasks can be made to fit
    [[nodiscard]] std::vector<preemption_plan>
    plan_gang_preemptions(const workflow& owner, std::uint32_t step_index, std::uint32_t wanted,
                          preemption_policy policy) const;
    /// @return whether the target accepts work now and is suitable for the step
    [[nodiscard]] bool can_use(const fleet_target& target, const workflow& owner,
                               std::uint32_t step_index) const;
    /// @return whether the target is in the pool to which the workflow's queue is sent now, and has
    /// the label that the step needs
    [[nodiscard]] static bool matches(const fleet_target& target, const workflow& owner,
                                      std::uint32_t step_index);
    /// @return whether the target matches() and the step has not just failed there
    [[nodiscard]] bool is_suitable(const fleet_target& target, const workflow& owner,
                                   std::uint32_t step_index) const;
    /// @return the target as a candidate for the step; nothing when no task fits there, it is
    /// not usable now or was denied by the advisor
    [[nodiscard]] std::optional<step_candidate>
    evaluate_target(fleet_target& target, const workflow& owner, std::uint32_t step_index) const;
    /// @return candidates for the step: those that the advisor has allowed, and a limited number of
    /// others, which are those with most free capacity
    [[nodiscard]] std::vector<step_candidate> find_candidates(const workflow& owner,
                                                              std::uint32_t step_index) const;
    /// @return a limited number of candidates for a step that needs no advice: those with least
    /// free capacity
    [[nodiscard]] std::vector<step_candidate>
    find_tightest_candidates(const workflow& owner, std::uint32_t step_index) const;
    /// @return whether operators have taken the target's availability zone out, or none of its
    /// targets answers
    [[nodiscard]] bool in_unusable_zone(const fleet_target& target) const;
    /// @return candidates among the targets that the advisor has allowed
    [[nodiscard]] std::vector<step_candidate>
    find_allowed_candidates(const workflow& owner, std::uint32_t step_index) const;
    /// @return estimated fraction of targets that the advisor will allow for the step
    [[nodiscard]] double expected_grant_rate(const workflow& owner, std::uint32_t step_index) const;
    /// @return whether the record of a new workflow would wait too long until the store has it
    [[nodiscard]] bool overloaded();

    // Admission (coordinator_admission.cpp).
    /// Count the present waiting work of a workflow in work_ahead; to be called after a change of
    /// its waiting tasks, ready steps, advice or state. Work that is too late to be of use does not
    /// count, since other work goes first.
    void update_waiting_work(workflow& owner);
    void replace_waiting_work(workflow& owner, const waiting_work::amount& after);
    /// @return waiting work and capacity of the targets of a pool, for work of this priority
    [[nodiscard]] admission_forecast::bottleneck fleet_bottleneck(std::string_view pool,
                                                                  int priority) const;
    [[nodiscard]] admission_forecast::conditions
    admission_conditions(const workflow_submission& submission, const queue_definition& queue);
    /// Refuses a submission, unless admission_policy::none is set, when it would probably end too
    /// late to be of use. @return whether it was refused
    [[nodiscard]] bool refuse_by_forecast(const workflow_submission& submission,
                                          const queue_definition& queue, std::uint64_t reply_id);
    /// @return delay in seconds before the retry of a submission that the store cannot take now
    [[nodiscard]] std::int64_t retry_after_stall(std::string_view pool, int priority);
    /// @return a random number from 0 to less than 1, to spread the retries of callers
    [[nodiscard]] double next_spread();
    /// Learn how long the advisor takes for the first question about a step of the queue.
    void learn_question_time(const std::string& queue, milliseconds time);
    /// Sends the start orders of placements that are now in the store, but those that may not start
    /// any more.
    void send_start_orders(const std::vector<placement_entry>& stored_placements);
    /// @return the target of a placement whose start was not sent yet; null when the run is gone
    [[nodiscard]] fleet_target* find_unsent_run(const placement_entry& entry);
    /// @return why the start of a stored placement may not be sent, for the log; empty if it may
    [[nodiscard]] std::string_view reason_to_withdraw(const fleet_target& target,
                                                      const placement_entry& entry) const;
    /// Stops a run that may not start any more, although its placement was stored or its start was
    /// sent, and the other members of its gang; the tasks wait for targets again. Its workflow must
    /// not have ended.
    /// @param reason for the log
    void withdraw_start(fleet_target& target, const task_name& task, std::string_view reason);
    /// @return how many of @p wanted tasks the team may start without exceeding its limit
    [[nodiscard]] std::uint32_t tasks_within_team_limit(const workflow& owner,
                                                        const resources& need,
                                                        std::uint32_t wanted) const;
    /// @return how many waiting tasks of the step could run at a time if the team ran nothing else
    /// and the targets were empty; 0 when they are too few for a gang
    [[nodiscard]] std::uint32_t max_concurrent_tasks(const workflow& owner,
                                                     std::uint32_t step_index) const;
    /// Keeps less urgent work of the team from using the part of its limit that tasks of an urgent
    /// step will use, and frees it, when the step can run within the limit at all.
    /// @param allowed tasks that may start now
    void claim_team_limit(workflow& owner, std::uint32_t step_index, std::uint32_t allowed);
    /// Reserves capacity for one task on each target of @p placement.
    void reserve(workflow_step& step, const resources& need,
                 const std::vector<fleet_target*>& placement);
    void release_reservation(workflow_step& step);
    /// @return the targets without duplicates, in no particular order
    [[nodiscard]] static std::vector<fleet_target*>
    without_duplicates(std::vector<fleet_target*> targets);
    /// @return whether the advisor's ticket for the target has not expired, or none is needed
    [[nodiscard]] bool ticket_valid(const workflow& owner, std::uint32_t step_index,
                                    const std::string& target) const;
    /// Asks the advisor which of @p targets may run the step. The targets of a gang are divided
    /// among several questions when there are many.
    /// @param add_claims see send_question()
    /// @return whether a VM accepted a question
    bool ask_advisor(workflow& owner, std::uint32_t step_index, const queue_definition& queue,
                     const std::vector<fleet_target*>& targets, bool add_claims);
    /// @param add_claims whether other gangs are not placed on these targets until the answer
    /// @return whether a VM accepted the question
    bool send_question(workflow& owner, std::uint32_t step_index, const queue_definition& queue,
                       std::span<fleet_target* const> targets, bool add_claims);
    /// @param targets_to_ask targets with free capacity that the gang would ask about; empty: too
    ///                       few for all its tasks
    /// @return whether the gang asks about all suitable targets instead
    [[nodiscard]] bool asks_whole_fleet(const workflow& owner, std::uint32_t step_index,
                                        const queue_definition& queue,
                                        std::span<fleet_target* const> targets_to_ask) const;
    /// Asks about all targets that can hold a task of the gang when they are empty and that it has
    /// not asked about: which of them the advisor allows does not change, so that later questions
    /// only renew tickets.
    /// @return false when there are none
    bool ask_about_unasked_targets(workflow& owner, std::uint32_t step_index,
                                   const queue_definition& queue);
    /// Marks the question's targets as claimed by a gang of this order (workflow::gang_order).
    void add_gang_claims(const advice_question& question, int order);
    void release_gang_claims(const advice_question& question, int order);
    void handle_advice_answer(const std::string& id, std::uint32_t step_index,
                              const advice_question& question, const advice_answer& answer);
    /// Assigns waiting tasks to @p targets and stores the placements; starts are sent after that.
    /// @param suspects whether to assign tasks that may crash targets, or others; a gang is
    ///                 assigned whole
    void place_tasks(workflow& owner, std::uint32_t step_index,
                     const std::vector<fleet_target*>& targets, bool suspects);
    void send_start_order(fleet_target& target, const task_name& task);
    /// Sends a start order that was not answered once more, at once: the order or its answer may be
    /// lost, and urgent work cannot wait for the next poll of the target.
    void repeat_start_order(fleet_target& target, const task_name& task);
    [[nodiscard]] start_order make_start_order(const fleet_target& target,
                                               const task_name& task) const;
    /// @return time since boot until which a start order of the step that is sent now may be
    /// executed if it has no answer
    [[nodiscard]] milliseconds unanswered_start_end(const workflow& owner, std::uint32_t step_index,
                                                    const std::string& target) const;
    /// @return a function that passes the target's answer to handle_start_result()
    [[nodiscard]] target_orders::order_callback
    start_result_handler(fleet_target& target, const task_name& task, std::int64_t run);
    /// Handles a target's answer to a start order.
    void handle_start_result(fleet_target& target, const task_name& task, std::int64_t run,
                             const order_result& result);
    void handle_refused_start(fleet_target& target, const task_name& task,
                              const order_result& result);
    void resend_orders(fleet_target& target, milliseconds now);
    /// Adds those steps of the workflow that can be scheduled to ready_steps.
    void add_ready_steps(workflow& owner);
    /// Removes the step from ready_steps, and releases the capacity that is reserved for it.
    void remove_from_ready(workflow& owner, std::uint32_t step_index);
    /// Moves a step of ready_steps to the place that its present rank and due shift give it.
    void update_rank(workflow& owner, std::uint32_t step_index);

    // Past use of the teams (coordinator_usage_history.cpp).
    /// Read the stored past use, again when that fails, and then start to update and store it. Work
    /// is placed meanwhile, in the order that it has without the stored use.
    void load_past_use();
    /// @param stored what an earlier coordinator has stored; nullopt: nothing
    void restore_past_use(const std::optional<std::string>& stored);
    /// Compute the shifts of the teams, and update the metrics.
    void update_past_use();
    /// Store the past use if it has changed and environment::past_use_store_interval has passed.
    void store_past_use();
    /// Count a run that was placed or adopted in the present and past use of its team, or no longer
    /// when it has ended.
    void count_run(const workflow& owner, const resources& need);
    void uncount_run(const workflow& owner, const resources& need);
    /// @return the shift of the step's due time that follows from what its team has used
    [[nodiscard]] milliseconds due_shift_of(const workflow& owner, std::uint32_t step_index) const;
    /// Log the teams that have used most, and their shifts.
    void log_past_use();

    // Measurement of how steps spend their time (coordinator_wait_states.cpp).
    /// Record in the step's time_tracker what the step waits for.
    void update_wait_state(workflow& owner, std::uint32_t step_index);
    /// @return the resource that limits how many tasks of the step its allowed targets can hold
    [[nodiscard]] step_time_tracker::state scarcest_resource(const workflow& owner,
                                                             std::uint32_t step_index) const;
    /// Log how the time of a workflow that failed, was cancelled or was late was spent.
    void log_workflow_end(const workflow& owner);
    void log_load();

    // Records (coordinator_records.cpp).
    /// Store a reply to a caller that is sent later. @return its id, for send_reply()
    std::uint64_t register_reply(submit_callback reply);
    /// @param retry_after_s with call_outcome::refused: recommended delay; 0: none is known
    void send_reply(std::uint64_t number, call_outcome outcome, std::int64_t retry_after_s = 0);
    /// While the store does not answer, refuse the workflows whose records were not sent to it.
    void refuse_unsent_submissions();
    /// @return latency objective of a workflow of the queue whose longest chain of steps takes
    /// @p longest_chain
    [[nodiscard]] static milliseconds objective_of(const queue_definition& queue,
                                                   milliseconds longest_chain);
    /// @return for each step the predicted time in milliseconds from its start to the end of all
    /// steps after it
    [[nodiscard]] static std::vector<std::int64_t>
    remaining_times(const workflow_spec& spec, const run_length_model& run_lengths);
    workflow& add_workflow(workflow_record record);
    /// Adds an unknown workflow as cancelled and stores it. @return the workflow
    workflow& remember_cancel(const std::string& id);
    /// Handles the submission of a workflow that was cancelled before it arrived.
    /// @param reply_id reply to send once the workflow is stored with its queue
    void accept_cancelled(workflow& owner, workflow_submission submission,
                          const queue_definition& queue, std::uint64_t reply_id);
    /// @param done called when the record is stored
    void store_record(workflow& owner, std::function<void()> done);
    /// Delete the records of workflows that ended longer ago than environment::ended_retention.
    void delete_ended_workflows();
    [[nodiscard]] workflow* find_workflow(const std::string& id);
    /// @return the target with this name and start time; null when there is none
    [[nodiscard]] fleet_target* find_target(const std::string& target, std::int64_t born_ms);
    // Prefixes of the keys in the store.
    [[nodiscard]] std::string record_prefix() const;
    [[nodiscard]] std::string placement_prefix() const;
    [[nodiscard]] std::string progress_prefix() const;
    [[nodiscard]] std::string past_use_key() const;
    [[nodiscard]] std::string definitions_key() const;

    environment env;
    leadership& election;
    commit_chain& chain;
    std::int64_t term;
    std::shared_ptr<const fleet_configuration> configuration;
    known_definitions definitions;
    std::string stored_definitions;               ///< as last read or written
    std::vector<std::string> exhausted_workflows; ///< see fail_exhausted_workflows()
    advice_dispatcher dispatcher;
    advice_economy economy;
    std::int64_t unlogged_questions = 0;    ///< sent since the last load line
    milliseconds unlogged_question_time{0}; ///< their expected time
    record_log records;
    placement_log placements;
    progress_log progress;

    bool loaded = false;         ///< all stored records have been read
    std::size_t loaded_keys = 0; ///< keys of the store read so far
    bool renewing_leases = true; ///< result of the last check whether task leases may be renewed
    bool list_was_recent = true; ///< result of the last check of list_is_recent()
    milliseconds started_at{0};  ///< time since boot of start()
    milliseconds last_load_progress{0}; ///< time since boot of the last page read; 0: not loading
    std::unordered_map<std::string, std::unique_ptr<workflow>> workflows;
    std::set<ready_key> ready_steps;
    /// Where the next pass continues with the steps behind the first ones; empty: right behind
    /// them.
    std::optional<ready_key> resume_pass_at;
    free_capacity_index free_targets; ///< outlives the targets, which it refers to
    std::map<std::string, std::unique_ptr<fleet_target>> targets;
    std::set<std::string> known_targets; ///< names of all targets of this term
    /// Start times of lives that targets have answered to be over, by target name, as long as the
    /// platform's list shows them.
    std::map<std::string, std::int64_t> ended_lives;
    /// Unresolved starts of targets that were removed.
    struct removed_starts {
        std::map<task_name, unresolved_start> starts;
        milliseconds removed_at{0}; ///< time since boot
        std::int64_t born_ms = 0;   ///< of the life that was removed
    };
    std::map<std::string, removed_starts> removed_unresolved_starts; ///< by target name
    /// Placements by earlier coordinators on targets that have not answered in this term, by
    /// target name. Their tasks may still be running.
    std::map<std::string, std::vector<awaited_placement>> awaited_placements;
    std::vector<std::string> inherited_placement_keys; ///< placement log of earlier coordinators
    placement_history inherited_batches;
    std::vector<target_report> latest_reports; ///< the platform's list as last read
    team_usage_tracker usage_by_team;
    std::unique_ptr<usage_history> past_use; ///< null: it is not used
    milliseconds past_use_stored_at{0};      ///< time since boot of its last write, or of its load
    zone_silence_detector silent_zones;
    target_loss_log target_losses;
    std::map<std::string, lost_life> lost_lives; ///< by target name
    /// Targets that were lost with their zone or rack before this coordinator was elected.
    std::set<std::string> lost_before_load;
    /// Time since boot at which scheduling of the current step began.
    milliseconds evaluation_time{0};
    int preemptions_left = 0;           ///< steps that may still preempt in this pass
    milliseconds earliest_next_pass{0}; ///< time since boot; ends the pause after the last pass
    resources fleet_capacity;     ///< total capacity of the usable targets in zones in service
    double total_team_weight = 0; ///< sum over the teams in the configuration
    /// The usable targets of a pool in zones in service.
    struct pool_capacity {
        std::int64_t processors_milli = 0;
        std::int64_t used_milli = 0; ///< part of it that runs use
    };
    std::map<std::string, pool_capacity, std::less<>> capacity_by_pool;
    waiting_work work_ahead; ///< of all open workflows
    /// Moving average of the time that the advisor takes for the first question about a step, in
    /// milliseconds, by queue.
    std::map<std::string, double, std::less<>> question_time;
    std::minstd_rand spread_random{std::random_device{}()};
    /// Assumed grant rate of a queue for which the advisor has not answered yet.
    static constexpr double initial_grant_rate = 0.5;
    /// Moving average of the fraction of targets that the advisor allows, by queue.
    std::map<std::string, double, std::less<>> grant_rate;
    std::map<std::string, run_length_model, std::less<>> run_length_models; ///< by queue
    stop_avoidance stops_to_avoid{this->run_length_models};
    std::vector<std::function<void()>> deferred_calls; ///< calls made before the store was read
    /// Replies not sent yet, by reply id.
    std::map<std::uint64_t, submit_callback> pending_replies;
    std::uint64_t last_reply_id = 0;
    std::size_t remembered_cancels = 0;      ///< workflows that were cancelled and not submitted
    std::uint64_t last_registration = 0;     ///< registration_id of the fleet_target added last
    std::unique_ptr<timer> load_retry_timer; ///< retries a page that could not be read
    std::unique_ptr<timer> past_use_timer;   ///< retries its load, then updates and stores past_use
    timer scheduling_timer;
    timer check_timer;
    timer cleanup_timer;
    timer load_log_timer;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace verbenalever
