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

/// Keeps in the store what the ends of runs have told, until their workflows have ended.
///
/// All ends of one transaction share one key, so that the log costs the store one entry a
/// transaction however many tasks end: a slow store keeps up with them. A key of which little is
/// needed any more is written together with newer ends and removed, so that a successor reads at
/// most a few times what counts.
class progress_log {
public:
    using callback = std::function<void()>;

    /// @param prefix of the log's keys
    /// @param term   of the coordinator, so that keys of different terms differ
    progress_log(commit_chain& chain, std::string prefix, std::int64_t term);
    ~progress_log();
    progress_log(const progress_log&) = delete;
    progress_log& operator=(const progress_log&) = delete;

    /// Keep an entry.
    /// @param kept called when it is in the store
    void add(progress_entry entry, callback kept);

    /// Take over a key of an earlier coordinator; @p entries are those that still count.
    void inherit(const std::string& key, const std::vector<progress_entry>& entries);

    /// Nothing of this workflow needs to be kept any more.
    void forget(const std::string& workflow);

    /// @return the entries of one key; INVALID_ARGUMENT when they cannot be read
    [[nodiscard]] static absl::StatusOr<std::vector<progress_entry>> read(std::string_view value);

private:
    struct batch {
        std::map<std::string, std::vector<progress_entry>> entries; ///< by workflow
        std::size_t written = 0;                                    ///< entries that its key holds
        std::size_t needed = 0; ///< of them, those of workflows that have not ended
        bool kept = false;
    };

    [[nodiscard]] std::string begin_batch();
    [[nodiscard]] std::string value_of(const batch& from) const;
    void note(batch& to, const std::string& key, progress_entry entry);
    void keep(const std::string& key);
    void clean(const std::string& key);

    commit_chain& chain;
    std::string prefix;
    std::int64_t term;
    std::map<std::string, batch> batches;                      ///< by key
    std::map<std::string, std::vector<std::string>> keys_with; ///< by workflow
    std::string current; ///< key of the batch that has not been sent; empty: there is none
    std::int64_t last = 0;
    std::map<std::string, std::vector<callback>> waiting; ///< by key
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace verbenalever
