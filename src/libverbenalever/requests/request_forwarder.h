#pragma once

#include "loop/timer.h"
#include "requests/attempt_result.h"
#include "requests/forward_answer.h"
#include "requests/forward_request.h"
#include "requests/peer_capacity.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

namespace verbenalever {

class configuration_store;
class counters;
class event_log;
class peer_mesh;
class target_sender;
struct entry_settings;
struct request_work;

/// Forwards requests to peers with free capacity, one hop at most, and runs those that peers
/// forward to this entry daemon.
///
/// Answers are matched by the number of the attempt, so that a late, duplicate or reordered answer
/// cannot be delivered to another request. A peer places a forwarded request or refuses it at once;
/// it neither queues it nor forwards it again.
class request_forwarder {
public:
    using done_callback = std::function<void(attempt_result)>;

    request_forwarder(event_loop& loop, const entry_settings& settings,
                      const configuration_store& configuration, peer_mesh& mesh,
                      target_sender& sender, counters& metrics, const event_log& log);

    /// @return a peer with free slots that is not in @p avoided; empty when there is none or the
    ///         body is too large for one frame
    [[nodiscard]] std::string choose_peer(const request_work& work,
                                          const peer_capacity::name_set& avoided);

    /// Send to a peer that choose_peer() returned.
    /// @param done called once, never from within send(); the outcome is unknown when the peer is
    ///             lost or does not answer
    void send(const request_work& work, const std::string& peer, microseconds timeout,
              done_callback done);

    /// Refuse requests that peers forward from now on.
    void drain();

    /// @return the number of peers' requests that are in progress at this entry daemon
    [[nodiscard]] std::size_t running_for_peers() const;

private:
    /// One request that was forwarded to a peer and is not yet answered.
    struct sent_attempt {
        std::string peer;
        std::uint64_t peer_incarnation = 0;
        std::string request_id;
        monotonic_time expires_at;
        done_callback done;
    };

    /// Identifies an attempt of a peer: the peer's name and incarnation and the attempt's number.
    using incoming_key = std::tuple<std::string, std::uint64_t, std::uint64_t>;

    void handle_forward_request(const std::string& from, const forward_request& message);
    void send_forward_answer(const incoming_key& key, const attempt_result& result);
    void handle_forward_answer(const std::string& from, const forward_answer& message);
    /// End the attempts whose peer is lost or did not answer in time, with the outcome "unknown".
    void fail_lost_attempts();
    /// @return the error code that tells why no answer can be expected any more; empty while one
    ///         can be expected
    [[nodiscard]] std::string_view loss_reason(const sent_attempt& attempt,
                                               monotonic_time now) const;

    const configuration_store& configuration;
    peer_mesh& mesh;
    target_sender& sender;
    counters& metrics;
    const event_log& log;
    std::uint64_t incarnation;
    peer_capacity capacity;
    std::uint64_t last_correlation = 0;
    std::map<std::uint64_t, sent_attempt> sent_attempts;
    std::set<incoming_key> running_for_peer;
    bool draining = false;
    timer check_timer;
};

} // namespace verbenalever
