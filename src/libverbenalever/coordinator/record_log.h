#pragma once

#include "workflows/workflow_record.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace verbenalever {

class commit_chain;

/// Stores the records of workflows.
///
/// Records that are stored at the same time share one key, so that a transaction writes many of
/// them and even a slow store keeps up with the submissions. A key is deleted once the store has a
/// newer record of each of its workflows. Until then it also holds outdated records; a reader takes
/// the record of an ended workflow for the newer one.
class record_log {
public:
    using callback = std::function<void()>;
    /// @return the present record of the workflow with this id; null when there is none
    using record_source = std::function<const workflow_record*(const std::string& id)>;

    /// @param prefix of the log's keys
    /// @param term   of the coordinator; part of the keys, so that terms do not share keys
    record_log(commit_chain& chain, std::string prefix, std::int64_t term, record_source record_of);
    ~record_log();
    record_log(const record_log&) = delete;
    record_log& operator=(const record_log&) = delete;

    /// Store the record that the workflow has when its batch is sent.
    /// @param stored called when it is in the store; may be empty
    void store(const std::string& id, callback stored);

    /// Remove a workflow of which no record was ever sent from its batch.
    /// @return false when no unsent batch contains it, or when the store may have an earlier record
    /// of it: one that was sent and not confirmed may still be stored
    bool withdraw(const std::string& id);

    /// Remove the stored record of an ended workflow. While another key still holds an outdated
    /// record of it, that key is rewritten first; the caller then calls again later.
    /// @return whether the record is removed
    bool try_remove(const std::string& id);

    /// Make known a key that an earlier coordinator wrote.
    /// @param current  workflows whose newest record it holds
    /// @param outdated workflows of which another key holds a newer record
    void add_inherited_key(const std::string& key, std::span<const std::string> current,
                           std::span<const std::string> outdated);

    /// @return the records in the value of one key; INVALID_ARGUMENT when it cannot be decoded
    [[nodiscard]] static absl::StatusOr<std::vector<workflow_record>>
    decode(std::string_view value);

private:
    /// The records of one key.
    struct batch {
        std::string key;
        std::map<std::string, std::vector<callback>> unstored; ///< by workflow id
        std::size_t bytes = 0;           ///< of its records when they were added
        std::size_t current_records = 0; ///< stored records that no newer one replaces
        bool rewriting = false;          ///< its current records are being stored again
    };
    /// Where the records of a workflow are.
    struct location {
        std::shared_ptr<batch> newest;              ///< has its newest stored record
        std::vector<std::weak_ptr<batch>> outdated; ///< have older ones until they are deleted
    };

    void begin_batch();
    [[nodiscard]] std::string compose(batch& from);
    void handle_stored(const std::shared_ptr<batch>& written);
    /// Make @p newest the batch of the workflow's newest record.
    void move_record(const std::string& id, const std::shared_ptr<batch>& newest);
    /// Count one record of the batch as replaced; delete its key after the last one.
    void release_record(batch& from);
    /// Store the current records of the batch again, under another key.
    void rewrite(batch& from);

    commit_chain& chain;
    std::string prefix;
    std::int64_t term;
    record_source record_of;
    std::unordered_map<std::string, location> locations; ///< of the stored records, by workflow id
    std::unordered_map<std::string, std::shared_ptr<batch>> unsent; ///< by workflow id
    /// Number of records of each workflow that were sent and are not confirmed, by workflow id.
    std::unordered_map<std::string, std::size_t> unconfirmed;
    std::shared_ptr<batch> open_batch; ///< takes records until it is full or sent; null: none
    std::int64_t last_batch_number = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace verbenalever
