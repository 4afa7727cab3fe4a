#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace verbenalever {

/// Sums of the work that waits for capacity, by team and by pool of targets, for each priority.
///
/// The sums are kept up to date with each change, so that the cost of a forecast does not grow with
/// the number of open workflows.
class waiting_work {
public:
    /// An amount of waiting work.
    struct amount {
        std::int64_t workflows = 0;
        std::int64_t processors_milli = 0; ///< of all waiting tasks together
        /// Thousandths of a processor times milliseconds: of each task its predicted run time.
        std::int64_t processor_time = 0;
        std::int64_t questions = 0;   ///< steps about which the advisor has not answered yet
        std::int64_t question_ms = 0; ///< time that the advisor takes for them

        amount& operator+=(const amount& other);
        amount& operator-=(const amount& other);
        friend bool operator==(const amount&, const amount&) = default;
    };

    /// Replaces the amount that was counted for a workflow.
    /// @param before counted until now; all zero: none
    /// @param after  to be counted from now on; all zero: none
    void replace(std::string_view team, std::string_view pool, int priority, const amount& before,
                 const amount& after);

    /// @return the team's waiting work of this priority or a more urgent one
    [[nodiscard]] amount ahead_in_team(std::string_view team, int priority) const;
    /// @return the same of all teams, for the targets of a pool
    [[nodiscard]] amount ahead_in_pool(std::string_view pool, int priority) const;
    /// @return the same of all teams and pools
    [[nodiscard]] amount ahead(int priority) const;

private:
    using sums_by_priority = std::map<int, amount>;
    using sums_by_name = std::map<std::string, sums_by_priority, std::less<>>;

    sums_by_name by_team;
    sums_by_name by_pool;
};

} // namespace verbenalever
