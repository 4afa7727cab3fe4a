#pragma once

#include "limits/allotment_record.h"
#include "limits/allotted_target.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace verbenalever {

/// What this entry knows of one team's allotments, and how much of each it may use. Pure state.
///
/// Three things could make a limit be exceeded, and each is met here:
/// - An earlier holder's write may take effect late and lower a target that is used by now. So an
///   amount counts only once this entry has written the record under its present lease (a fence:
///   the late write was made from an older revision and fails). Until then no more may run than was
///   found running.
/// - A write of this entry may be lost or late. So a lowered amount binds from before the write is
///   sent, until a newer revision shows whether it took effect.
/// - An operator may lower the limit below the sum. So amounts are scaled down as they are used.
class allotment_book {
public:
    /// Take in a version of the record; older ones than known change nothing.
    void observe(allotment_record record, std::int64_t revision);

    /// @return the newest version known
    [[nodiscard]] const allotment_record& record() const;

    /// @return its revision, zero while the platform keeps none
    [[nodiscard]] std::int64_t revision() const;

    /// @return the sum of its amounts
    [[nodiscard]] const resources& total() const;

    /// @return whether this entry wrote the record under the lease epoch given
    [[nodiscard]] bool fenced(std::string_view target, std::int64_t epoch) const;

    /// @return how much the team may have running on a target that this entry holds
    [[nodiscard]] resources usable(const allotted_target& target, const resources& limit);

    /// Note a write that is about to be sent. Call write_ended() before the next.
    /// @param next the record to be written
    /// @param held the targets that this entry holds; @p next changes no others
    void write_started(const allotment_record& next, std::span<const allotted_target> held);

    /// Note that the write was kept as @p revision.
    void write_kept(std::int64_t revision);

    /// @return whether @p record is the version that was sent last
    [[nodiscard]] bool is_sent(const allotment_record& record) const;

    /// Note that the write failed or that nothing is known of it.
    void write_failed();

    [[nodiscard]] bool writing() const;

    /// Bind the use of targets to less than their amounts, so that what is above comes free and
    /// can be given up. Replaces earlier ceilings.
    void set_ceilings(std::map<std::string, resources, std::less<>> ceilings);

private:
    /// An amount that binds until a revision newer than its base is seen.
    struct lowered_amount {
        resources amount;
        std::int64_t base = 0;
    };

    /// What was found running on a target under a lease that has no fence yet.
    struct found_use {
        std::int64_t epoch = 0;
        resources use;
    };

    allotment_record kept;
    resources kept_total;
    std::int64_t kept_revision = 0;
    std::map<std::string, std::int64_t, std::less<>> fences; ///< lease epoch by target
    std::map<std::string, lowered_amount, std::less<>> lowered;
    std::map<std::string, found_use, std::less<>> found;
    std::map<std::string, resources, std::less<>> ceilings;
    allotment_record sent;
    std::map<std::string, std::int64_t, std::less<>> sent_epochs;
    bool write_in_flight = false;
};

} // namespace verbenalever
