#include "requests/request_admission.h"

#include "access/access_control.h"
#include "configuration/configuration_store.h"
#include "http/http_request.h"
#include "http/problem.h"
#include "loop/unique_id.h"
#include "requests/final_answer.h"
#include "requests/queue_load.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

namespace verbenalever {

namespace {

constexpr milliseconds max_deadline{600'000};
constexpr std::size_t max_caller_id_length = 128;
constexpr milliseconds retry_after_drain{1000};
constexpr int status_too_many_requests = 429;
constexpr int status_unavailable = 503;

absl::StatusOr<milliseconds> parse_deadline(const http_request& request,
                                            milliseconds default_deadline)
{
    const auto text = request.header("Deadline-Ms");
    if (text.empty())
        return default_deadline;
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || value <= 0 ||
        value > max_deadline.count())
        return absl::InvalidArgumentError(
            fmt::format("Deadline-Ms: '{}' is not a number of milliseconds from 1 to {}", text,
                        max_deadline.count()));
    return milliseconds(value);
}

absl::StatusOr<bool> parse_repeatable(const http_request& request)
{
    const auto text = request.header("Repeatable");
    if (text.empty() || text == "true" || text == "false")
        return text == "true";
    return absl::InvalidArgumentError(
        fmt::format("Repeatable: '{}' is neither true nor false", text));
}

bool is_id_character(char character)
{
    const bool digit = character >= '0' && character <= '9';
    const bool upper = character >= 'A' && character <= 'Z';
    const bool lower = character >= 'a' && character <= 'z';
    return digit || upper || lower || character == '-' || character == '_' || character == '.';
}

absl::StatusOr<std::string> parse_caller_id(const http_request& request)
{
    const auto text = request.header("Request-Id");
    if (text.size() > max_caller_id_length ||
        !std::all_of(text.begin(), text.end(), is_id_character))
        return absl::InvalidArgumentError(fmt::format(
            "Request-Id: at most {} letters, digits, '-', '_' and '.'", max_caller_id_length));
    return std::string(text);
}

} // namespace

request_admission::request_admission(const configuration_store& configuration,
                                     const access_control& access)
    : configuration(configuration), access(access)
{
}

std::variant<pending_request, http_response>
request_admission::parse(const http_request& request, const std::string& queue_name) const
{
    const auto& queues = this->configuration.current().queues;
    const auto queue = queues.find(queue_name);
    if (queue == queues.end())
        return not_run_response(
            absl::NotFoundError(fmt::format("there is no queue '{}'", queue_name)),
            "no_such_queue");
    const auto team = this->access.admit(request, queue->second);
    if (!team.ok())
        return not_run_response(team.status(), "key_refused");
    const auto deadline = parse_deadline(request, queue->second.deadline);
    if (!deadline.ok())
        return not_run_response(deadline.status(), "bad_header");
    const auto repeatable = parse_repeatable(request);
    if (!repeatable.ok())
        return not_run_response(repeatable.status(), "bad_header");
    auto caller_id = parse_caller_id(request);
    if (!caller_id.ok())
        return not_run_response(caller_id.status(), "bad_header");
    const auto now = monotonic_clock::now();
    return pending_request{.caller_id = *std::move(caller_id),
                           .work = {.id = make_unique_id("req"),
                                    .queue = queue_name,
                                    .team = *team,
                                    .repeatable = *repeatable,
                                    .body = request.body,
                                    .demand = queue->second.demand,
                                    .deadline = now + *deadline},
                           .arrival = now,
                           .respond = {},
                           .last_answer = std::nullopt,
                           .tried_destinations = {}};
}

std::optional<request_answer> request_admission::refusal(const pending_request& request,
                                                         const queue_load& load,
                                                         bool draining) const
{
    const auto& queue = this->configuration.current().queues.find(request.work.queue)->second;
    if (queue.stopped)
        return not_run_answer(status_unavailable, "queue_stopped", "the queue is stopped",
                              retry_after_drain);
    if (draining)
        return not_run_answer(status_unavailable, "entry_draining",
                              "this entry is draining before its shutdown", retry_after_drain);
    if (load.length() >= queue.length_limit)
        return not_run_answer(status_too_many_requests, "queue_full", "the queue is full",
                              load.retry_after());
    const auto expected_answer_at =
        request.arrival + load.estimated_wait() + load.response_time.high_estimate();
    if (expected_answer_at > request.work.deadline)
        return not_run_answer(status_unavailable, "wait_past_deadline",
                              "the estimated wait goes past the deadline", load.retry_after());
    return std::nullopt;
}

} // namespace verbenalever
