#pragma once

#include "coordinator/progress_entry.h"

#include <absl/status/statusor.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace verbenalever {

class commit_chain;

/// Stores the results of ended runs until their workflows have ended.
///
/// All results of one transaction share one key, so that each transaction writes one key however
/// many tasks end, and even a slow store is fast enough. A key most of whose entries are of ended
/// workflows is compacted: its other entries are written again with newer ones and the key is
/// removed. A successor thus reads at most a few times as many entries as it needs.
class progress_log {
public:
    using callback = std::function<void()>;

    /// @param prefix of the log's keys
    /// @param term   of the coordinator, so that keys of different terms differ
    progress_log(commit_chain& chain, std::string prefix, std::int64_t term);
    ~progress_log();
    progress_log(const progress_log&) = delete;
    progress_log& operator=(const progress_log&) = delete;

    /// Store an entry.
    /// @param stored called when it is in the store
    void add(progress_entry entry, callback stored);

    /// Make known a key that an earlier coordinator wrote, so that it is removed when it is no
    /// longer needed.
    /// @param entries those of its entries whose workflows have not ended
    void add_inherited_key(const std::string& key, const std::vector<progress_entry>& entries);

    /// Remove the entries of a workflow whose end is stored.
    void remove_workflow(const std::string& workflow);

    /// @return the entries of one key; INVALID_ARGUMENT when they cannot be read
    [[nodiscard]] static absl::StatusOr<std::vector<progress_entry>> parse(std::string_view value);

private:
    struct batch {
        std::map<std::string, std::vector<progress_entry>> entries; ///< by workflow
        std::size_t written = 0; ///< entries that its key was written with
        std::size_t needed = 0;  ///< entries whose workflows have not ended
        std::size_t bytes = 0;   ///< approximate size of all entries that were added
        bool stored = false;
    };

    /// Add an empty batch; its value is made from its entries when the commit chain sends it.
    /// @return its key
    [[nodiscard]] std::string begin_batch();
    [[nodiscard]] std::string serialize(const batch& from) const;
    void add_to_batch(batch& to, const std::string& key, progress_entry entry);
    void mark_stored(const std::string& key);
    void compact_key(const std::string& key);

    commit_chain& chain;
    std::string prefix;
    std::int64_t term;
    std::map<std::string, batch> batches;                             ///< by key
    std::map<std::string, std::vector<std::string>> keys_by_workflow; ///< by workflow
    std::string unsent_key; ///< key of the last batch, while it is not sent; empty: none
    std::int64_t last_batch_number = 0;
    std::map<std::string, std::vector<callback>> stored_callbacks; ///< by key
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace verbenalever
