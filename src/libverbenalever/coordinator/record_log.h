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

    /// Remove a workflow from a batch that was not sent yet.
    /// @return false when no unsent batch contains it
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
    struct batch {
        std::map<std::string, std::vector<callback>> unstored; ///< by workflow id
        std::size_t current_records = 0; ///< stored records that no newer one replaces
        bool rewriting = false;          ///< its current records are being stored again
    };
    /// Where the records of a workflow are.
    struct location {
        std::string key;                   ///< of its newest stored record
        std::vector<std::string> outdated; ///< keys of older records, which may be deleted by now
    };

    void begin_batch();
    [[nodiscard]] std::string compose_batch(const std::string& key);
    void handle_batch_stored(const std::string& key);
    /// Make @p key the one of the workflow's newest record.
    void move_record(const std::string& id, const std::string& key);
    /// Count one record of the key as replaced; delete the key after its last one.
    void release_record(const std::string& key);
    /// Store the current records of the key again, under another one.
    void rewrite_key(const std::string& key);

    commit_chain& chain;
    std::string prefix;
    std::int64_t term;
    record_source record_of;
    std::map<std::string, batch> batches;                    ///< by key
    std::unordered_map<std::string, location> locations;     ///< by id, of the stored records
    std::unordered_map<std::string, std::string> unsent_key; ///< by id, of records to be sent
    std::string open_key; ///< key of the batch that takes records; empty: none
    std::int64_t last_batch_number = 0;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace verbenalever
