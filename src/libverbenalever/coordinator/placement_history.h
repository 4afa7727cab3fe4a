#pragma once

#include <cstdint>
#include <map>
#include <set>

namespace verbenalever {

/// When the batches of earlier coordinators' placement logs were written, and so whose start orders
/// may have been on their way when these coordinators ended.
///
/// A start order is sent once its batch is stored, and that it has no answer is stored with the
/// next batch after that. Batches are written one after the other.
class placement_history {
public:
    /// Add a batch that is in the store.
    /// @param term       of the coordinator that wrote it
    /// @param written_ms placement_entry::written_ms of its entries
    void add(std::int64_t term, std::int64_t written_ms);

    /// @return whether the coordinator may have ended before it could store that a start order of
    /// this batch had no answer
    [[nodiscard]] bool may_lack_answers(std::int64_t term, std::int64_t written_ms) const;

private:
    std::map<std::int64_t, std::set<std::int64_t>> written_by_term;
};

} // namespace verbenalever
