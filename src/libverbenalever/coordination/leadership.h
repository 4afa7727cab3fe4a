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

/// Who coordinates, as the store has it.
struct coordinator_record {
    std::string vm;
    std::string address; ///< "IP:PORT" for peers
    std::string tenure;  ///< unique to this process and term

    MSGPACK_DEFINE(vm, address, tenure)
};

/// Elects one process at a time as coordinator, through a key with a lease in the store.
///
/// Winning also rewrites the fence key, so that nothing a predecessor still sends takes effect. The
/// revision of that change is the term: it grows with each change of coordinator.
class leadership {
public:
    struct callbacks {
        /// This process has won; the chain carries its writes until lost() returns.
        std::function<void(std::int64_t term, commit_chain& chain)> won;
        /// This process no longer coordinates.
        std::function<void()> lost;
        /// Who coordinates has changed; nothing while nobody does.
        std::function<void(const std::optional<coordinator_record>&)> coordinator_changed;
        /// @return whether the coordinator last known was heard from just now
        std::function<bool()> coordinator_heard;
        /// @return how long to let VMs that are better suited stand first
        std::function<milliseconds()> candidacy_delay;
    };

    /// @param prefix keys of this class begin so; "PREFIXleader" and "PREFIXfence"
    leadership(event_loop& loop, metadata_store& store, const event_log& log, std::string prefix,
               coordinator_record self, callbacks notify);
    ~leadership();
    leadership(const leadership&) = delete;
    leadership& operator=(const leadership&) = delete;

    void start();

    /// Ask the store anew who coordinates: the coordinator is not heard any more.
    void reload_coordinator();

    /// The coordinator's process is gone: stand without waiting for its lease to end.
    void replace_coordinator();

    /// Step down because another process was seen to have taken over.
    void abdicate(std::string_view reason);

    /// Let another process win, and do not stand again for a while.
    void hand_over(milliseconds pause);

    /// Hand over for good.
    void retire();

    [[nodiscard]] bool leads() const
    {
        return this->chain != nullptr;
    }

    /// @return whether the last question to the store about the coordinator was answered
    [[nodiscard]] bool store_answers() const
    {
        return this->last_read_answered;
    }

    /// @return time since the store last confirmed that this process coordinates
    [[nodiscard]] milliseconds time_since_confirmed() const;

    /// @return whether the lease has surely not ended at the store
    [[nodiscard]] bool is_lease_valid() const;

    /// How long the store keeps the key of a coordinator that has gone silent.
    static constexpr milliseconds lease_time{1200};

private:
    void read_coordinator();
    void watch();
    void apply_record(const store_item& item);
    void schedule_candidacy(milliseconds wait);
    void start_candidacy();
    void write_claim(std::int64_t lease);
    void finish_claim(std::int64_t lease, const std::string& tenure, const store_result& result);
    void become_coordinator(std::int64_t lease, std::int64_t term);
    void renew();
    void restore_key();
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
    std::int64_t known_revision = 0; ///< of the coordinator's key as last seen
    std::int64_t replaced_revision =
        0; ///< revision of the key of a coordinator that is gone; 0: none
    std::unique_ptr<commit_chain> chain;
    std::unique_ptr<commit_chain> former_chain; ///< kept for the duty that ends; see step_down()
    std::string tenure;                         ///< while this process leads
    std::int64_t lease = 0;
    milliseconds last_renewal{0};
    bool restoring_key = false;
    bool candidacy_pending = false;
    bool retired = false;
    milliseconds no_candidacy_before{0}; ///< boot time before which it does not stand
    bool watch_pending = false;
    bool last_read_answered = false; ///< the last read or watch of the coordinator's key
    std::uint64_t watch_round = 0;   ///< answers to watches of earlier rounds are dropped
    int tenure_count = 0;
    timer watch_retry_timer;
    timer candidacy_timer;
    timer renew_timer;
    timer reread_timer;
    std::shared_ptr<bool> alive = std::make_shared<bool>(true);
};

} // namespace verbenalever
