#pragma once

#include "loop/clock.h"
#include "loop/endpoint.h"
#include "loop/timer.h"

#include <absl/status/status.h>
#include <msgpack.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace verbenalever {

class commit_chain;
class event_log;
class event_loop;
class metadata_store;
struct store_item;
struct store_result;

/// Why the known coordinator is taken to have ended.
enum class coordinator_loss {
    process_replaced,   ///< the process at its address does not coordinate
    connection_refused, ///< its address refuses connections: its process, or the way to it, is gone
};

/// The stored record of the coordinator: the value of the leader key.
struct coordinator_record {
    std::string vm;
    std::string address; ///< "IP:PORT" for peers
    std::string tenure;  ///< unique for each term of each process

    MSGPACK_DEFINE(vm, address, tenure)
};

/// Elects one process at a time as coordinator, through a key with a lease in the store.
///
/// The winner also rewrites the fence key, so that the store rejects writes that a previous
/// coordinator still sends. The store revision of that change is the term: it grows with each
/// change of coordinator.
class leadership {
public:
    struct callbacks {
        /// Called when this process has become coordinator. It writes to the store through
        /// @p chain, which is valid until lost() returns.
        std::function<void(std::int64_t term, commit_chain& chain)> won;
        /// Called when this process is no longer coordinator.
        std::function<void()> lost;
        /// Called when the coordinator has changed, with the new one (which may be this process),
        /// or with an empty argument while there is none.
        std::function<void(const std::optional<coordinator_record>&)> coordinator_changed;
        /// @return whether the connection to the last known coordinator is alive
        std::function<bool()> coordinator_heard;
        /// @return how long to wait before becoming a candidate, so that processes on VMs with
        /// larger processor shares become candidates earlier
        std::function<milliseconds()> candidacy_delay;
    };

    /// @param prefix    start of the keys used: "PREFIXleader" and "PREFIXfence"
    /// @param link_mbps bandwidth of this VM's link; 0: not known
    leadership(event_loop& loop, metadata_store& store, const event_log& log, std::string prefix,
               coordinator_record self, callbacks notify, double link_mbps = 0);
    ~leadership();
    leadership(const leadership&) = delete;
    leadership& operator=(const leadership&) = delete;

    void start();

    /// Read the leader key again, e.g. because the connection to the coordinator was lost.
    void reload_coordinator();

    /// Become a candidate without waiting for the coordinator's lease to expire.
    ///
    /// A refused connection alone proves nothing: it is the same when the network between the two
    /// processes is cut. So the first one makes this process read the fence key, and only another
    /// one after that starts the candidacy; the claim then fails if the coordinator has written to
    /// the store since the fence key was read. While the store does not answer, nothing is claimed.
    void replace_coordinator(coordinator_loss loss);

    /// The coordinator has sent a message: give up a candidacy that would replace it.
    void confirm_coordinator();

    /// Step down because another process is known to have become coordinator.
    void abdicate(std::string_view reason);

    /// Step down by ending the lease of the leader key, so that another process can win. That is a
    /// small call of its own, which does not wait for pending writes.
    /// @param pause how long this process accepts no hand-over and lets others become candidates
    /// first. It waits for a successor, but replaces one that ends, so that the last VM
    /// coordinates.
    void hand_over(milliseconds pause);

    /// @return whether this process is about to step down
    [[nodiscard]] bool handing_over() const
    {
        return this->ending_lease;
    }

    /// @return whether a coordinator may hand over to this process
    [[nodiscard]] bool accepts_hand_over() const;

    /// @return whether the store has answered a renewal of the leader key's lease lately
    [[nodiscard]] bool renewals_answered() const;

    /// Make a small call to see whether the store answers this process.
    void check_store();

    /// @return whether the store has answered check_store() lately
    [[nodiscard]] bool store_checked() const;

    /// @return how long the coordinator's transaction has had no answer
    [[nodiscard]] milliseconds time_without_answer() const;

    /// Step down and never become a candidate again.
    void retire();

    [[nodiscard]] bool leads() const
    {
        return this->chain != nullptr;
    }

    /// @return whether the store answered the last read or watch of the leader key
    [[nodiscard]] bool store_answers() const
    {
        return this->last_read_answered;
    }

    /// @return time since this process sent the last call by whose answer the store confirmed that
    /// it is coordinator
    [[nodiscard]] milliseconds time_since_confirmed() const;

    /// @return whether this process is coordinator and its lease cannot have expired at the store
    /// yet
    [[nodiscard]] bool is_lease_valid() const;

    /// Lease of the leader key: the store deletes the key this long after the last renewal.
    static constexpr milliseconds lease_time{1200};

private:
    void read_coordinator();
    void watch();
    void apply_record(const store_item& item);
    /// Become a candidate after @p wait and the delays of this VM, or earlier if that was
    /// scheduled.
    void schedule_candidacy(milliseconds wait);
    void start_candidacy();
    void write_claim(std::int64_t lease);
    /// Read the revision of the fence key, to see later whether the coordinator writes.
    void start_suspicion();
    /// Give up a candidacy that would replace the coordinator, and read who coordinates.
    void cancel_replacement(std::string_view reason);
    void finish_claim(std::int64_t lease, const std::string& tenure, const store_result& result);
    /// A condition of the claim has failed: another process has won, the coordinator writes, or the
    /// key has expired.
    void handle_conflict(const store_result& result);
    void become_coordinator(std::int64_t lease, std::int64_t term);
    void renew();
    void restore_key();
    /// @param done called when the store has answered or the call has timed out
    void end_lease(std::int64_t ended, std::function<void()> done);
    void step_down(std::string_view reason);

    event_loop& loop;
    metadata_store& store;
    const event_log& log;
    std::string leader_key;
    std::string fence_key;
    coordinator_record self;
    callbacks notify;

    std::optional<coordinator_record> known_coordinator;
    std::int64_t watched_revision = 0;
    std::int64_t known_revision = 0;    ///< store revision of the leader key when last read
    std::int64_t replaced_revision = 0; ///< revision of the leader key of a coordinator whose
                                        ///< process has terminated; 0: none
    /// Revision of the fence key when that coordinator was suspected; 0: not a condition.
    std::int64_t replaced_fence_revision = 0;
    /// A refused connection to the coordinator.
    struct suspicion {
        std::int64_t leader_revision = 0;
        std::int64_t fence_revision = 0; ///< read after the connection was refused; 0: not yet
        milliseconds began{0};           ///< time since boot
    };
    std::optional<suspicion> suspected;
    std::uint64_t candidacy_round = 0; ///< answers to candidacies of earlier rounds are ignored
    std::unique_ptr<commit_chain> chain;
    std::unique_ptr<commit_chain> former_chain; ///< kept alive until the next step_down()
    std::string tenure;     ///< see coordinator_record; of the current or last term of this process
    std::int64_t lease = 0; ///< the last one granted for the leader key
    std::int64_t key_lease = 0; ///< the one under which the leader key was last written
    milliseconds last_renewal{0};
    milliseconds last_renewal_answer{0}; ///< time since boot
    milliseconds last_check_answer{0};   ///< time since boot; 0: none
    bool check_pending = false;
    bool ending_lease = false; ///< between hand_over() and its end
    double link_mbps;
    bool restoring_key = false;
    bool candidacy_pending = false;
    bool retired = false;
    milliseconds no_candidacy_before{0}; ///< time since boot
    milliseconds candidacy_due{0};       ///< time since boot at which candidacy_timer ends
    milliseconds pause_end{0};           ///< time since boot; see hand_over()
    bool watch_pending = false;
    bool last_read_answered = false; ///< by the last read or watch
    std::uint64_t watch_round = 0;   ///< answers to watches of earlier rounds are ignored
    int tenure_count = 0;
    timer watch_retry_timer;
    timer candidacy_timer;
    timer renew_timer;
    timer reread_timer;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace verbenalever
