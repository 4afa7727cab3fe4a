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

/// Finds waiting work by its id and by its deadline, in whichever flow it stands.
///
/// Adding, taking out and setting aside cost no more with more work waiting, but for the deadline
/// heap's logarithm. The flows belong to the caller and must outlive their work here.
class work_store {
public:
    /// Append @p work to @p flow.
    void add(scheduling_flow& flow, queued_work work);

    /// Take out the first piece of work of @p flow, which must not be empty.
    [[nodiscard]] queued_work pop_first(scheduling_flow& flow);

    /// @return the flow in which the work stands; null when it is not there or was set aside
    [[nodiscard]] scheduling_flow* flow_of(std::uint64_t id) const;

    /// Forget one piece of work.
    /// @return whether it was here
    bool erase(std::uint64_t id);

    /// @return the id of the work in a flow whose deadline passed first, if any has passed
    [[nodiscard]] std::optional<std::uint64_t> first_expired(monotonic_time now);

    /// Move work out of its flow, to be returned by pop_expired().
    void mark_expired(std::uint64_t id);

    /// Take out all work that was set aside.
    [[nodiscard]] std::vector<queued_work> pop_expired();

    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::size_t size_of(std::string_view queue) const;

private:
    struct location {
        scheduling_flow* flow = nullptr; ///< null for work set aside
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
    std::vector<deadline_entry>
        deadlines; ///< a heap; work that has left stays until it is met or dropped
    work_list expired;
    std::map<std::string, std::size_t, std::less<>> length_by_queue; ///< by queue
    std::uint64_t last_sequence = 0;
};

} // namespace verbenalever
