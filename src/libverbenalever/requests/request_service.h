#pragma once

#include "http/http_server.h"
#include "loop/timer.h"
#include "requests/pending_request.h"
#include "requests/queue_load.h"
#include "requests/request_admission.h"
#include "requests/request_forwarder.h"
#include "requests/request_id_claims.h"
#include "requests/resend_table.h"
#include "requests/retry_budget.h"
#include "requests/target_sender.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>

namespace verbenalever {

class access_control;
class configuration_store;
class counters;
class event_log;
class kv_client;
class peer_mesh;
class queue_policy;
class router;
class share_ledger;
class target_client;
class target_registry;
struct entry_settings;
struct queued_work;

/// Accepts callers' requests, runs each on a target of this entry daemon or through a peer, and
/// gives each exactly one final answer: the target's complete answer, "not run" (only if it
/// certainly did not run), or "outcome unknown".
///
/// A request that is not repeatable is sent again only while it certainly has not run.
class request_service {
public:
    request_service(event_loop& loop, const entry_settings& settings,
                    configuration_store& configuration, const access_control& access,
                    target_registry& registry, target_client& client, peer_mesh& mesh,
                    kv_client& store, share_ledger& shares, counters& metrics,
                    const event_log& log);
    ~request_service();
    request_service(const request_service&) = delete;
    request_service& operator=(const request_service&) = delete;

    /// Add POST /v1/requests/{queue}.
    void add_routes(router& routes);

    /// Refuse new requests of callers and peers from now on.
    void drain();

    /// @return the number of callers' and peers' requests without a final answer
    [[nodiscard]] std::size_t unanswered() const;

    /// @return the number of callers' requests in the queues
    [[nodiscard]] std::size_t queued() const;

private:
    /// Where the next attempt of a request is sent: a target or a peer.
    struct destination {
        std::string target;
        std::string peer;
        bool deadline_unreachable = false; ///< an answer before the deadline is unlikely
    };

    void handle_request(const http_request& request, const std::string& queue,
                        const http_responder& respond);
    void accept(pending_request request);
    void claim_id(pending_request& request);
    void handle_claim_result(std::uint64_t number, const std::string& key,
                             const std::string& writer, request_id_claims::result result,
                             const std::string& holder);
    void enqueue(pending_request& request);
    void dispatch();
    [[nodiscard]] bool find_destination(const queued_work& work, destination& found);
    void send_attempt(pending_request& request, const destination& to);
    [[nodiscard]] microseconds attempt_timeout(const pending_request& request);
    void handle_attempt_result(std::uint64_t number, attempt_result result);
    /// @return whether the request may be sent again; takes a token of the retry budget if the
    ///         request may have run
    [[nodiscard]] bool take_retry(const pending_request& request, const attempt_result& result);
    void back_off(pending_request& request);
    void tick();
    void wake(std::uint64_t number, monotonic_time at);
    /// Finish a request that is not sent again. Its final answer is the last 5xx answer of a target
    /// if there was one, else "outcome unknown" if it may have run, else "not run" with the given
    /// arguments.
    void finish_without_success(pending_request& request, int status, std::string_view code,
                                std::string_view message);
    void finish(std::uint64_t number, const request_answer& answer);

    const configuration_store& configuration;
    target_registry& registry;
    counters& metrics;
    const event_log& log;
    request_admission admission;
    target_sender sender;
    request_forwarder forwarder;
    request_id_claims id_claims;
    resend_table resends;
    retry_budget retries;
    std::unique_ptr<queue_policy> queued_requests;
    std::map<std::string, queue_load, std::less<>> loads; ///< by queue
    std::unordered_map<std::uint64_t, pending_request> requests;
    /// Requests that are claiming or backing off, by wake_at.
    std::multimap<monotonic_time, std::uint64_t> wake_times;
    std::mt19937_64 random;
    std::uint64_t last_number = 0;
    bool draining = false;
    bool dispatching = false;
    timer tick_timer;
};

} // namespace verbenalever
