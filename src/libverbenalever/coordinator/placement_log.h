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

/// Where a run was, or is about to be, ordered.
struct placement_entry {
    std::string workflow;
    std::int64_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    std::int64_t run = 0;
    std::string target;
    std::int64_t target_born_ms = 0;

    [[nodiscard]] task_name task() const
    {
        return {this->workflow, this->occurrence, this->step, this->index};
    }

    MSGPACK_DEFINE(workflow, occurrence, step, index, run, target, target_born_ms)
};

/// Keeps in the store on which target each run may be, from before it is ordered until it has
/// ended. A successor that cannot reach a target knows from it which tasks to wait for.
///
/// All placements of one transaction share one key, so that the log costs the store two entries a
/// transaction however many tasks start.
class placement_log {
public:
    /// @param prefix of the log's keys
    /// @param term   of the coordinator, so that keys of different terms differ
    /// @param kept   called when a batch is in the store, with its entries
    placement_log(commit_chain& chain, std::string prefix, std::int64_t term,
                  std::function<void(const std::vector<placement_entry>&)> on_stored);
    ~placement_log();
    placement_log(const placement_log&) = delete;
    placement_log& operator=(const placement_log&) = delete;

    /// Note a placement. @return the number of its batch
    std::int64_t add(placement_entry entry);

    /// A run of this batch can no longer be on its target.
    void mark_run_ended(std::int64_t batch);

    /// @return the entries of one key; INVALID_ARGUMENT when they cannot be read
    [[nodiscard]] static absl::StatusOr<std::vector<placement_entry>>
    decode(std::string_view value);

private:
    struct batch {
        std::vector<placement_entry> entries; ///< empty once they are kept
        std::size_t open_runs = 0;            ///< runs that may still be on their target
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
    bool batch_unsent = false; ///< the last batch has not been sent
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace verbenalever
