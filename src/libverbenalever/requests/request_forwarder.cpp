#include "requests/request_forwarder.h"

#include "configuration/configuration_store.h"
#include "membership/peer_mesh.h"
#include "requests/request_work.h"
#include "requests/target_sender.h"
#include "timeline/counters.h"
#include "timeline/event_log.h"
#include "verbenalever/entry_settings.h"
#include "wire/frame_connection.h"

#include <array>
#include <vector>

namespace verbenalever {

namespace {

constexpr milliseconds check_interval{50};
/// Room in a frame for everything but the body.
constexpr std::size_t frame_overhead = 4096;
/// Added to the deadline at the origin, so that an answer given just before it still arrives.
constexpr milliseconds answer_grace{20};
constexpr int status_ok = 200;

constexpr std::array<std::pair<attempt_outcome, std::string_view>, 3> outcome_names = {{
    {attempt_outcome::answered, "answered"},
    {attempt_outcome::not_run, "not_run"},
    {attempt_outcome::unknown, "unknown"},
}};

std::string name_of(attempt_outcome outcome)
{
    for (const auto& [value, name] : outcome_names) {
        if (value == outcome)
            return std::string(name);
    }
    return "unknown";
}

attempt_outcome outcome_of(std::string_view text)
{
    for (const auto& [value, name] : outcome_names) {
        if (name == text)
            return value;
    }
    return attempt_outcome::unknown;
}

bool fits_frame(std::size_t body_bytes)
{
    return body_bytes + frame_overhead <= frame_connection::frame_limit;
}

} // namespace

request_forwarder::request_forwarder(event_loop& loop, const entry_settings& settings,
                                     const configuration_store& configuration, peer_mesh& mesh,
                                     target_sender& sender, counters& metrics, const event_log& log)
    : configuration(configuration), mesh(mesh), sender(sender), metrics(metrics), log(log),
      incarnation(static_cast<std::uint64_t>(wall_microseconds())),
      room(settings.availability_zone, this->incarnation),
      check_timer(loop, [this] { this->check(); })
{
    this->mesh.on<forward_request>([this](const std::string& from, const forward_request& message) {
        this->taken(from, message);
    });
    this->mesh.on<forward_answer>([this](const std::string& from, const forward_answer& message) {
        this->answered(from, message);
    });
    this->check_timer.start_repeating(check_interval);
}

std::string request_forwarder::choose(const request_work& work, const peer_room::name_set& avoided)
{
    if (!fits_frame(work.body.size()))
        return {};
    return std::string(this->room.choose(this->mesh.peers(), avoided, monotonic_clock::now()));
}

void request_forwarder::send(const request_work& work, const std::string& peer,
                             microseconds timeout, done_callback done)
{
    const auto now = monotonic_clock::now();
    const auto& state = this->mesh.peers().find(peer)->second;
    this->room.sent(state);
    this->metrics.add("requests_forwarded");
    this->log.write("requests", "request_forwarded", {{"request", work.id}, {"peer", peer}});
    const auto correlation = ++this->last_correlation;
    this->sent.emplace(correlation, outgoing{.peer = peer,
                                             .peer_incarnation = state.last.incarnation,
                                             .request = work.id,
                                             .expires = now + timeout + answer_grace,
                                             .done = std::move(done)});
    this->mesh.send(peer, forward_request{.correlation = correlation,
                                          .incarnation = this->incarnation,
                                          .id = work.id,
                                          .queue = work.queue,
                                          .team = work.team,
                                          .repeatable = work.repeatable,
                                          .body = work.body,
                                          .left_us = timeout.count()});
}

void request_forwarder::drain()
{
    this->draining = true;
}

std::size_t request_forwarder::running_for_peers() const
{
    return this->running.size();
}

void request_forwarder::taken(const std::string& from, const forward_request& message)
{
    const incoming_key key{from, message.incarnation, message.correlation};
    if (this->running.contains(key)) {
        this->metrics.add("forward_requests_doubled");
        return;
    }
    this->running.insert(key);
    const auto& queues = this->configuration.current().queues;
    const auto queue = queues.find(message.queue);
    if (this->draining || queue == queues.end() || message.left_us <= 0)
        return this->finished(key, {.outcome = attempt_outcome::not_run, .code = "refused"});
    const request_work work{.id = message.id,
                            .queue = message.queue,
                            .team = message.team,
                            .repeatable = message.repeatable,
                            .body = message.body,
                            .demand = queue->second.demand,
                            .deadline = monotonic_clock::now() + microseconds(message.left_us)};
    const auto target = this->sender.place(work, {});
    if (!target) {
        this->metrics.add("forward_requests_refused");
        return this->finished(key, {.outcome = attempt_outcome::not_run, .code = "no_room"});
    }
    this->metrics.add("forward_requests_taken");
    this->sender.send(work, *target, microseconds(message.left_us),
                      [this, key](const attempt_result& result) { this->finished(key, result); });
}

void request_forwarder::finished(const incoming_key& key, const attempt_result& result)
{
    const auto& [peer, peer_incarnation, correlation] = key;
    forward_answer answer{.correlation = correlation,
                          .incarnation = peer_incarnation,
                          .outcome = name_of(result.outcome)};
    if (result.outcome == attempt_outcome::answered) {
        answer.status = result.response.status;
        answer.content_type = find_header(result.response.headers, "Content-Type").value_or("");
        answer.body = result.response.body;
    }
    // The request ran, but its answer cannot be carried whole.
    if (!fits_frame(answer.body.size())) {
        answer.outcome = name_of(attempt_outcome::unknown);
        answer.body.clear();
    }
    this->mesh.send(peer, answer);
    this->running.erase(key);
}

void request_forwarder::answered(const std::string& from, const forward_answer& message)
{
    const auto found = this->sent.find(message.correlation);
    if (message.incarnation != this->incarnation || found == this->sent.end() ||
        found->second.peer != from) {
        this->metrics.add("forward_answers_late");
        return;
    }
    const auto ended = std::move(found->second);
    this->sent.erase(found);
    attempt_result result{.outcome = outcome_of(message.outcome), .response = {}, .code = {}};
    if (result.outcome == attempt_outcome::answered)
        result.response = {
            .status = message.status == 0 ? status_ok : message.status,
            .headers = {{"Content-Type", message.content_type}, {"Request-Id", ended.request}},
            .body = message.body};
    else
        result.code = result.outcome == attempt_outcome::not_run ? peer_refused : "no_answer";
    if (const auto peer = this->mesh.peers().find(from);
        result.outcome == attempt_outcome::not_run && peer != this->mesh.peers().end())
        this->room.refused(peer->second);
    ended.done(std::move(result));
}

std::string_view request_forwarder::loss_of(const outgoing& sent, monotonic_time now) const
{
    if (now >= sent.expires)
        return "no_answer";
    const auto peer = this->mesh.peers().find(sent.peer);
    const bool here = peer != this->mesh.peers().end() && peer->second.alive &&
                      peer->second.last.incarnation == sent.peer_incarnation;
    return here ? "" : "peer_lost";
}

void request_forwarder::check()
{
    const auto now = monotonic_clock::now();
    std::vector<std::pair<outgoing, std::string_view>> lost;
    std::erase_if(this->sent, [this, now, &lost](auto& entry) {
        const auto reason = this->loss_of(entry.second, now);
        if (reason.empty())
            return false;
        lost.emplace_back(std::move(entry.second), reason);
        return true;
    });
    for (const auto& [ended, reason] : lost) {
        this->metrics.add("forwards_unanswered");
        this->room.unanswered(ended.peer, now);
        ended.done({.outcome = attempt_outcome::unknown,
                    .response = {},
                    .code = reason,
                    .timed_out = reason == "no_answer"});
    }
}

} // namespace verbenalever
