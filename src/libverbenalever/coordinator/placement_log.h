#pragma once

#include "ports/task_order.h"

#include <absl/status/statusor.h>
#include <msgpack.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace verbenalever {

class commit_chain;

/// A run and the target to which its start order was sent or will be sent.
struct placement_entry {
    std::string workflow;
    std::int64_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    std::int64_t run = 0;
    std::string target;
    std::int64_t target_born_ms = 0;
    /// When its batch was written, by the clock since boot of the coordinator that wrote it: to be
    /// compared within one term only. 0: written by a build that does not store it.
    std::int64_t written_ms = 0;
    bool unanswered = false; ///< a start order for the run had no answer
    /// How long after its batch was written such an order may be executed, in milliseconds.
    std::int64_t late_ms = 0;
    std::int64_t written_wall_ms =
        0; ///< when its batch was written, by the wall clock; 0: see above

    [[nodiscard]] task_name task() const
    {
        return {this->workflow, this->occurrence, this->step, this->index};
    }

    MSGPACK_DEFINE(workflow, occurrence, step, index, run, target, target_born_ms, written_ms,
                   unanswered, late_ms, written_wall_ms)
};

/// Stores the target of each run, from before its start order is sent until it has ended. A later
/// coordinator that cannot reach a target reads here which tasks may still be running on it.
///
/// All placements of one transaction share one key: the log costs the store one write and one
/// deletion for each batch, however many tasks start, unless they would exceed the size of a value.
class placement_log {
public:
    /// @param prefix    prefix of the log's keys
    /// @param term      of the coordinator; part of the keys, so that terms do not share keys
    /// @param on_stored called with the placements of a batch once they are in the store
    placement_log(commit_chain& chain, std::string prefix, std::int64_t term,
                  std::function<void(const std::vector<placement_entry>&)> on_stored);
    ~placement_log();
    placement_log(const placement_log&) = delete;
    placement_log& operator=(const placement_log&) = delete;

    /// Adds a placement to the batch that is written next.
    /// @return the number of that batch
    std::int64_t add(placement_entry entry);

    /// Records that one run of the batch is no longer on its target. The batch is deleted after its
    /// last run.
    void mark_run_ended(std::int64_t batch);

    /// @return the term of the coordinator that wrote the key of a log with this prefix; 0 when
    /// it cannot be read
    [[nodiscard]] static std::int64_t term_of(std::string_view prefix, std::string_view key);

    /// @return the placements in the value of one key; INVALID_ARGUMENT when it cannot be decoded
    [[nodiscard]] static absl::StatusOr<std::vector<placement_entry>>
    decode(std::string_view value);

private:
    struct batch {
        std::vector<placement_entry> entries; ///< empty once they are stored
        std::size_t open_runs = 0;            ///< runs that may still be on their target
        std::size_t bytes = 0;                ///< approximate size of the entries when stored
        bool stored = false;
    };

    [[nodiscard]] std::string batch_key(std::int64_t batch_number) const;
    void handle_batch_stored(std::int64_t batch_number);
    void delete_if_finished(std::int64_t batch_number);

    commit_chain& chain;
    std::string prefix;
    std::int64_t term;
    std::function<void(const std::vector<placement_entry>&)> on_stored;
    std::map<std::int64_t, batch> batches;
    std::int64_t last_batch = 0;
    /// Whether the last batch was not sent yet and has room, so that placements can be added to it.
    bool batch_open = false;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace verbenalever
