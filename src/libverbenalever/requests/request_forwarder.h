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

/// Sends requests to peers with room, one hop at most, and runs those that peers send here.
///
/// Answers are matched by a number of the attempt, so one that is late, doubled or out of order
/// reaches no other request. A peer places at once or refuses at once; it never queues or passes
/// on.
class request_forwarder {
public:
    using done_callback = std::function<void(attempt_result)>;

    request_forwarder(event_loop& loop, const entry_settings& settings,
                      const configuration_store& configuration, peer_mesh& mesh,
                      target_sender& sender, counters& metrics, const event_log& log);

    /// @return a peer with room that is not in @p avoided; empty when none has, or the body is too
    ///         large for one frame
    [[nodiscard]] std::string choose_peer(const request_work& work,
                                          const peer_capacity::name_set& avoided);

    /// Send to a peer that choose() gave.
    /// @param done called once, never from within send(); unknown when the peer dies or is silent
    void send(const request_work& work, const std::string& peer, microseconds timeout,
              done_callback done);

    /// Refuse what peers send from now on.
    void drain();

    /// @return requests of peers in progress here
    [[nodiscard]] std::size_t running_for_peers() const;

private:
    /// One request sent to a peer and not yet answered.
    struct sent_attempt {
        std::string peer;
        std::uint64_t peer_incarnation = 0;
        std::string request;
        monotonic_time expires_at;
        done_callback done;
    };

    /// Identifies an attempt of a peer: its name, incarnation and the attempt's number.
    using incoming_key = std::tuple<std::string, std::uint64_t, std::uint64_t>;

    void handle_forward_request(const std::string& from, const forward_request& message);
    void send_forward_answer(const incoming_key& key, const attempt_result& result);
    void handle_forward_answer(const std::string& from, const forward_answer& message);
    void fail_lost_attempts();
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
