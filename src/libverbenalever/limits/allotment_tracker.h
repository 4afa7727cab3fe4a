#pragma once

#include "limits/allotment_record.h"
#include "limits/allotted_target.h"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace verbenalever {

/// Tracks one team's allotment record and this entry daemon's pending write to it, and computes how
/// much of each target's allotment this entry daemon may use. Does no I/O.
///
/// Three cases could let a team exceed its limit; each is prevented here:
/// - A write by the previous lease holder of a target may take effect late and lower the amount of
///   a target that this entry daemon already uses. So this entry daemon may use a target's amount
///   only after it has written the record under its current lease. That write is a fence: it raises
///   the revision, so the late write, based on an older revision, fails. Until then the team may
///   run no more on the target than what was running when this entry daemon acquired the lease.
/// - A write of this entry daemon may be lost or delayed. So a lowered amount applies from before
///   the write is sent until a newer revision shows whether it took effect.
/// - An operator may lower the limit below the sum of the amounts. So usable amounts are scaled
///   down to the limit.
class allotment_tracker {
public:
    /// Update the known record; a version that is not newer than the known one is ignored.
    void apply_record(allotment_record record, std::int64_t revision);

    /// @return the newest known version of the record
    [[nodiscard]] const allotment_record& record() const;

    /// @return the revision of record(); zero while the key-value service has no record
    [[nodiscard]] std::int64_t revision() const;

    /// @return the sum of the amounts in record()
    [[nodiscard]] const resources& total() const;

    /// @return whether this entry daemon has written the record under lease @p epoch of @p target
    [[nodiscard]] bool fenced(std::string_view target, std::int64_t epoch) const;

    /// @return how much the team may have running on a target that this entry daemon holds
    [[nodiscard]] resources usable_amount(const allotted_target& target, const resources& limit);

    /// Register a write that is about to be sent. Call write_committed() or write_failed() before
    /// the next one.
    /// @param next the record to be written
    /// @param held the targets whose lease this entry daemon holds; @p next changes only their
    ///             amounts
    void begin_write(const allotment_record& next, std::span<const allotted_target> held);

    /// Handle a successful write: the record was stored as @p revision.
    void write_committed(std::int64_t revision);

    /// @return whether @p record is the version that this entry daemon sent last
    [[nodiscard]] bool is_last_sent(const allotment_record& record) const;

    /// Handle a write that failed or whose outcome is unknown.
    void write_failed();

    /// @return whether a write was begun and its outcome not reported yet
    [[nodiscard]] bool write_pending() const;

    /// Cap the usable amount of targets below their allotment, so that the excess becomes unused as
    /// work ends and can be released to other entry daemons. Replaces earlier ceilings.
    /// @param ceilings caps by target
    void set_ceilings(std::map<std::string, resources, std::less<>> ceilings);

private:
    /// An upper bound that applies until a revision newer than its base is known.
    struct lowered_amount {
        resources amount;
        std::int64_t base_revision = 0;
    };

    /// The team's use of a target when this entry daemon first saw the lease epoch.
    struct takeover_use {
        std::int64_t epoch = 0;
        resources use;
    };

    allotment_record known_record;
    resources known_total;
    std::int64_t known_revision = 0;
    /// By target name: the epoch of the target's lease under which this entry daemon last wrote the
    /// team's allotment record.
    std::map<std::string, std::int64_t, std::less<>> fence_epochs;
    std::map<std::string, lowered_amount, std::less<>> lowered_amounts;
    std::map<std::string, takeover_use, std::less<>> use_at_takeover;
    std::map<std::string, resources, std::less<>> ceilings;
    allotment_record sent_record;
    std::map<std::string, std::int64_t, std::less<>> sent_epochs;
    bool write_in_flight = false;
};

} // namespace verbenalever
