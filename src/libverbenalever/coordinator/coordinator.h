#pragma once

#include "coordinator/advice_desk.h"
#include "coordinator/fleet_target.h"
#include "coordinator/placement_log.h"
#include "coordinator/progress_log.h"
#include "coordinator/run_length_model.h"
#include "coordinator/team_usage_tracker.h"
#include "coordinator/workflow.h"
#include "loop/timer.h"
#include "ports/fleet_configuration.h"
#include "ports/target_view.h"

#include <absl/status/status.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
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
class target_orders;
struct step_candidate;
struct store_page;

/// What a caller hands in, after its key and queue were checked.
struct workflow_submission {
    std::string id;
    std::string queue;
    std::string team;
    workflow_spec spec;

    MSGPACK_DEFINE(id, queue, team, spec)
};

/// How a call of a caller ended.
enum class call_outcome : int {
    accepted = 0,  ///< kept, or cancelled as asked
    refused = 1,   ///< not accepted and will not run; try again later
    unknown = 2,   ///< it may have been accepted
    not_found = 3, ///< no such workflow or queue
    invalid = 4,   ///< it can never be accepted
};

/// The one process that places all work, for as long as it leads.
///
/// All state that must last is in the store: a record for each workflow, and its progress once it
/// has some. What runs where is at the targets; a new coordinator asks all of them before it starts
/// anything of a workflow that it has not accepted itself.
class coordinator {
public:
    struct environment {
        event_loop& loop;
        metadata_store& store;
        target_orders& orders;
        target_directory& directory;
        const event_log& log;
        counters& count;
        std::string prefix;            ///< of this product's keys in the store
        milliseconds task_lease{0};    ///< how long tasks may go on without word
        milliseconds finished_rest{0}; ///< how long ended workflows are remembered
        /// @return whether every process heard lately is still connected here, so that none of
        /// them stands for coordinator
        std::function<bool()> members_complete;
        /// Members that left before this boot time are not missed any more.
        std::function<void(milliseconds)> forget_members;
        /// Told how many targets there are.
        std::function<void(std::size_t)> fleet_sized = [](std::size_t) {};
    };

    coordinator(environment surroundings, leadership& office, commit_chain& chain,
                std::int64_t term, std::shared_ptr<const fleet_configuration> configuration);
    ~coordinator();
    coordinator(const coordinator&) = delete;
    coordinator& operator=(const coordinator&) = delete;

    /// Read the store and take hold of the targets.
    void begin();

    void configure(std::shared_ptr<const fleet_configuration> configuration);

    /// Take a workflow; an identical one handed in again is the same workflow.
    void submit(workflow_submission submission, std::function<void(call_outcome)> reply);

    /// @return where a workflow stands; nothing while the store is still being read
    void status(const std::string& id, std::function<void(call_outcome, workflow_state)> reply);

    /// End a workflow and what runs of it.
    void cancel(const std::string& id, std::function<void(call_outcome)> reply);

    /// @return accepted workflows of the queue of which no task has started
    [[nodiscard]] std::int64_t waiting_in(std::string_view queue) const;

    [[nodiscard]] advice_desk& advisors()
    {
        return this->desk;
    }

    /// @return whether the store has been read
    [[nodiscard]] bool ready() const
    {
        return this->loaded;
    }

private:
    /// Priority, rank, boot time by which it should have ended, workflow, step.
    using ready_key = std::tuple<int, int, std::int64_t, std::string, std::uint32_t>;

    // Loading the store (coordinator_store_load.cpp).
    /// Request the keys of @p prefix that follow @p after; request them again when that fails.
    void load_page(const std::string& prefix, const std::string& after);
    /// Load each item, then request the next page or the next prefix.
    void apply_loaded_page(const std::string& prefix, const store_page& page);
    void load_record(std::string_view value);
    void load_placements(const std::string& key, std::string_view value);
    /// Keep a task from being placed until the target on which it may run was polled.
    void mark_awaiting_target(const placement_entry& entry);
    void load_progress(const std::string& key, std::string_view value);
    /// Apply a stored result to its workflow. @return false when its workflow needs it no more
    [[nodiscard]] bool apply_progress(const progress_entry& entry);
    /// List the ready steps, add the targets and run the calls that waited for the load.
    void finish_load();

    // Targets (coordinator_targets.cpp).
    /// Add, update and remove targets according to the platform's list.
    void apply_directory(const std::vector<target_report>& reports);
    void add_target(const target_report& report);
    void remove_target(const std::string& name, std::string_view reason);
    /// Every check_interval: remove targets that are gone, mark runs with an expired lease lost,
    /// resend unanswered orders and update the fleet's figures.
    void check_targets();
    /// Mark all runs of a target lost, whose lease has expired.
    void mark_all_runs_lost(fleet_target& target, std::string_view reason);
    /// @return whether no other coordinator can have been elected yet, as far as is known
    [[nodiscard]] bool may_renew_leases() const;
    /// A target was polled: requeue the tasks that may have run there and do not.
    void release_tasks_awaiting(const std::string& name);
    /// Requeue the tasks of @p entries that wait for no other target.
    void release_awaiting_tasks(const std::vector<placement_entry>& entries);
    /// Stop waiting for targets that were restarted or on which all leases of earlier terms have
    /// expired; once no target is awaited, remove the placements that earlier coordinators stored.
    void update_adoption();

    // Results of polls (coordinator_polls.cpp).
    void apply_poll_result(fleet_target& target, const target_view& view, milliseconds sent);
    void apply_running_task(fleet_target& target, const target_view::running_task& row);
    /// Update the percent of a run, and stop the run when it is stalled.
    void detect_stall(fleet_target& target, const target_view::running_task& row,
                      placed_run& placed);
    /// Add a run that this coordinator does not know; stop it when its task needs no run.
    void adopt_run(fleet_target& target, const target_view::running_task& row);
    /// Mark runs lost that the target confirmed before @p sent and that the poll did not report.
    void detect_missing_runs(fleet_target& target, const std::set<task_name>& seen,
                             milliseconds sent);

    // Orders (coordinator_targets.cpp).
    /// Poll the target repeatedly while it has runs.
    void update_polling(fleet_target& target);
    /// Order a run to stop; a run whose start was not sent is only removed.
    void stop_run(fleet_target& target, const task_name& task, std::int64_t run);

    // Ends of runs (coordinator_run_ends.cpp).
    /// @return false when the end was reported before
    bool apply_run_end(fleet_target& target, const target_view::ended_task& end);
    /// Mark a task done, or all tasks of its gang. @return whether it was not done before
    bool mark_task_done(workflow& owner, const task_name& task, std::int64_t run);
    /// Count a failed run; fail the workflow after as many as its queue allows attempts.
    /// @return whether the run was not counted before
    bool count_failed_run(workflow& owner, const task_name& task, std::int64_t run);
    /// Remove a run and free its resources. @return whether it was of a known workflow
    bool remove_run(fleet_target& target, const task_name& task);
    /// Let a placed task wait for a target again.
    void requeue_task(workflow& owner, const task_name& task);
    void learn_run_length(const placed_run& placed, const task_name& task);
    /// The effects of an end are stored: acknowledge it with the next poll.
    void mark_end_stored(const std::string& target, std::int64_t born_ms, std::int64_t number);
    /// Remove a run that has ended without a known result, and requeue its task.
    void mark_run_lost(fleet_target& target, const task_name& task, std::string_view reason);
    /// Stop all runs of a step.
    void stop_step(workflow& owner, std::uint32_t step);
    void end_workflow(workflow& owner, workflow_state state);
    void stop_workflow(workflow& owner);

    // Placing (coordinator_pass.cpp, _advice.cpp, _starts.cpp, _reclaim.cpp).
    void request_pass(milliseconds wait = milliseconds(2));
    void pass();
    /// Place what can be placed of a ready step, ask the advisor, make room for it.
    /// @return false when it waits for its team's limit or for the advisor's answer
    bool consider(workflow& owner, std::uint32_t step);
    bool place_or_ask(workflow& owner, std::uint32_t step);
    [[nodiscard]] int rank_of(const workflow& owner, std::uint32_t step) const;
    /// Sum the capacity of the usable targets and the weights of the teams.
    void update_fleet_capacity();
    /// Note which targets have room.
    /// @param oldest age of an earlier survey that will do
    void survey_room(milliseconds oldest);
    [[nodiscard]] ready_key key_of(const workflow& owner, std::uint32_t step) const;
    void reclaim_run(fleet_target& target, const task_name& task, const workflow& by,
                     std::string_view reason);
    void reclaim_limit(workflow& owner, std::uint32_t step);
    bool reclaim_room(workflow& owner, std::uint32_t step, const queue_definition* queue,
                      std::uint32_t wanted);
    [[nodiscard]] bool may_use(const fleet_target& target, const workflow& owner,
                               std::uint32_t step) const;
    [[nodiscard]] bool suits(const fleet_target& target, const workflow& owner,
                             std::uint32_t step) const;
    /// @return the target as a candidate for the step; nothing when it cannot be used now
    [[nodiscard]] std::optional<step_candidate> weigh(fleet_target& target, const workflow& owner,
                                                      std::uint32_t step,
                                                      const queue_definition* queue) const;
    /// @return targets with room for the step
    [[nodiscard]] std::vector<step_candidate> candidates(const workflow& owner, std::uint32_t step,
                                                         const queue_definition* queue) const;
    /// @return those of them that the advisor has allowed
    [[nodiscard]] std::vector<step_candidate>
    allowed_candidates(const workflow& owner, std::uint32_t step,
                       const queue_definition* queue) const;
    [[nodiscard]] double expected_grant(const workflow& owner, std::uint32_t step) const;
    [[nodiscard]] bool overloaded();
    void send_starts(const std::vector<placement_entry>& kept);
    [[nodiscard]] std::uint32_t within_limit(const workflow& owner, const resources& need,
                                             std::uint32_t wanted) const;
    void reserve(workflow_step& step, const resources& need,
                 const std::vector<fleet_target*>& places);
    void free_reservation(workflow_step& step);
    [[nodiscard]] bool ticket_holds(const workflow& owner, std::uint32_t step,
                                    const std::string& target) const;
    bool ask_advice(workflow& owner, std::uint32_t step, const queue_definition& queue,
                    const std::vector<fleet_target*>& targets);
    bool ask_part(workflow& owner, std::uint32_t step, const queue_definition& queue,
                  std::span<fleet_target* const> targets, bool claims);
    /// @return whether one question about the whole fleet teaches a gang where it may run
    [[nodiscard]] bool learns_whole(const workflow& owner, std::uint32_t step,
                                    const queue_definition& queue) const;
    /// Ask about all targets that could ever hold a task of a gang, since which of them the advisor
    /// allows does not change.
    bool learn_targets(workflow& owner, std::uint32_t step, const queue_definition& queue);
    void claim(const advice_question& question, int order);
    void give_up_claim(const advice_question& question, int order);
    void take_advice(const std::string& id, std::uint32_t step, const advice_question& question,
                     const advice_answer& answer);
    void start_tasks(workflow& owner, std::uint32_t step,
                     const std::vector<fleet_target*>& targets);
    void send_start(fleet_target& target, const task_name& task);
    void take_start(fleet_target& target, const task_name& task, std::int64_t run,
                    const order_result& result);
    void start_refused(fleet_target& target, const task_name& task, const order_result& result);
    void resend_orders(fleet_target& target, milliseconds now);
    void list_ready(workflow& owner);
    void unlist(workflow& owner, std::uint32_t step);

    // Where time goes (coordinator_wait_states.cpp).
    /// Record in the step's clock why the step waits.
    void update_wait_state(workflow& owner, std::uint32_t step);
    /// @return the resource that limits how many tasks of the step its allowed targets can hold
    [[nodiscard]] step_clock::state scarcest_resource(const workflow& owner,
                                                      std::uint32_t step) const;
    /// Log where the time of a workflow went that failed, was cancelled or was late.
    void log_workflow_end(const workflow& owner);
    void log_load();

    // Records (coordinator_records.cpp).
    /// Add a reply that is still to be sent. @return its number
    std::uint64_t register_reply(std::function<void(call_outcome)> reply);
    void send_reply(std::uint64_t number, call_outcome outcome);
    /// While the store does not answer, refuse the workflows whose records were not sent to it.
    void refuse_unsent_submissions();
    workflow& add_workflow(workflow_record record);
    /// @param done called when the record is stored
    void store_record(workflow& owner, std::function<void()> done);
    /// Delete the records of workflows that ended longer ago than finished_rest.
    void delete_ended_workflows();
    [[nodiscard]] workflow* find_workflow(const std::string& id);
    /// @return the target with this name and start time; null when there is none
    [[nodiscard]] fleet_target* find_target(const std::string& target, std::int64_t born_ms);
    /// Keys in the store; with an empty id the prefix of all such keys.
    [[nodiscard]] std::string record_key(const std::string& id) const;
    [[nodiscard]] std::string placement_key(const std::string& id) const;
    [[nodiscard]] std::string progress_key(const std::string& id) const;

    environment around;
    leadership& office;
    commit_chain& chain;
    std::int64_t term;
    std::shared_ptr<const fleet_configuration> configuration;
    advice_desk desk;
    placement_log placements;
    progress_log progress;

    bool loaded = false;
    bool extending = true; ///< whether leases of tasks were renewed when last looked at
    milliseconds began_at{0};
    std::unordered_map<std::string, std::unique_ptr<workflow>> workflows;
    std::set<ready_key> ready_steps;
    std::map<std::string, std::unique_ptr<fleet_target>> targets;
    /// Tasks that may be on a target not heard in this term, by target.
    std::map<std::string, std::vector<placement_entry>> unseen;
    std::vector<std::string> inherited_log; ///< keys of the log of earlier coordinators
    std::vector<target_report> reports;     ///< as the platform's list last had them
    team_usage_tracker teams;
    /// Targets with room that can be used, and their unused processors when surveyed, least first.
    /// Room that comes free later is found by the next survey.
    std::vector<std::pair<std::int64_t, fleet_target*>> open_room;
    milliseconds surveyed_at{0};  ///< boot time
    milliseconds weighing_at{0};  ///< boot time at which the step in hand is considered
    int reclaims_left = 0;        ///< in this pass
    milliseconds next_pass_at{0}; ///< boot time
    resources fleet;              ///< what all targets that can be used have
    double all_weights = 0;       ///< of the teams in the configuration
    /// Part of the targets that the advisor allows, until there is experience.
    static constexpr double first_grant_share = 0.5;
    std::map<std::string, double, std::less<>> grant_share;           ///< by queue
    std::map<std::string, run_length_model, std::less<>> run_lengths; ///< by queue
    std::vector<std::function<void()>> after_load;
    std::map<std::uint64_t, std::function<void(call_outcome)>> open_replies;
    std::uint64_t last_reply = 0;
    std::uint64_t listings = 0;   ///< of targets, so far
    std::unique_ptr<timer> retry; ///< of a page that could not be read
    timer pass_timer;
    timer check_timer;
    timer forget_timer;
    timer load_timer;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace verbenalever
