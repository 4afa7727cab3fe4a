#pragma once

#include "scheduling/sequenced_work.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace verbenalever {

struct scheduling_flow;

/// Finds waiting work by id and by deadline across all flows.
///
/// Adding, removing and marking as expired take constant time, apart from the logarithmic cost of
/// the deadline heap. The flows belong to the caller and must outlive their work in the store.
class work_store {
public:
    /// Append @p work to @p flow.
    void add(scheduling_flow& flow, queued_work work);

    /// Remove and return the first piece of work of @p flow, which must not be empty.
    [[nodiscard]] queued_work pop_first(scheduling_flow& flow);

    /// @return the flow that contains the work; null when it is unknown or marked as expired
    [[nodiscard]] scheduling_flow* flow_of(std::uint64_t id) const;

    /// Remove one piece of work.
    /// @return whether it was in the store
    bool erase(std::uint64_t id);

    /// @return the id of the work in any flow whose deadline passed first; nothing when none has
    [[nodiscard]] std::optional<std::uint64_t> first_expired(monotonic_time now);

    /// Move work from its flow to the expired work.
    void mark_expired(std::uint64_t id);

    /// Remove and return all work that was marked as expired.
    [[nodiscard]] std::vector<queued_work> pop_expired();

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::size_t size_of(std::string_view queue) const;

private:
    struct location {
        scheduling_flow* flow = nullptr; ///< null for expired work
        work_list::iterator position;
    };

    struct deadline_entry {
        monotonic_time deadline;
        std::uint64_t id = 0;
        friend bool operator>(const deadline_entry& left, const deadline_entry& right)
        {
            return left.deadline > right.deadline;
        }
    };

    [[nodiscard]] queued_work extract(const location& where);
    void add_deadline(deadline_entry item);
    void drop_stale_deadlines();

    std::unordered_map<std::uint64_t, location> locations;
    /// Min-heap. Entries of removed work stay until they reach the top or are dropped as stale.
    std::vector<deadline_entry> deadlines;
    work_list expired;
    std::map<std::string, std::size_t, std::less<>> length_by_queue; ///< includes expired work
    std::uint64_t last_sequence = 0;
};

} // namespace verbenalever
