#include "requests/resend_table.h"

#include "loop/unique_id.h"

#include <fmt/format.h>

namespace verbenalever {

namespace {

constexpr std::chrono::seconds kept_for{60};
constexpr std::size_t kept_bytes_limit = 4U << 20U;
constexpr std::size_t record_overhead_bytes = 512;

std::size_t size_of(const std::optional<request_answer>& answer)
{
    return record_overhead_bytes + (answer ? answer->response.body.size() : 0);
}

} // namespace

bool resend_table::begin(const std::string& key, const request_responder& respond,
                         monotonic_time now)
{
    this->expire(now);
    auto [found, is_new] = this->records.try_emplace(key);
    auto& known = found->second;
    if (is_new) {
        known.writer = make_unique_id("claim");
        return true;
    }
    if (known.in_progress) {
        known.joined.push_back(respond);
        return false;
    }
    if (known.answer) {
        respond(*known.answer);
        return false;
    }
    known.in_progress = true;
    ++known.begun;
    this->kept_bytes -= size_of(known.answer);
    return true;
}

std::string resend_table::writer(const std::string& key) const
{
    const auto& known = this->records.at(key);
    return fmt::format("{}.{}", known.writer, known.begun);
}

void resend_table::finish(const std::string& key, const request_answer& answer, monotonic_time now)
{
    auto& known = this->records.at(key);
    known.in_progress = false;
    known.ended = now;
    if (answer.given_to_resends && answer.outcome != attempt_outcome::not_run)
        known.answer = answer;
    this->kept_bytes += size_of(known.answer);
    this->ended.emplace_back(now, key);
    const auto joined = std::exchange(known.joined, {});
    this->expire(now);
    for (const auto& respond : joined)
        respond(answer);
}

void resend_table::expire(monotonic_time now)
{
    while (!this->ended.empty() &&
           (this->ended.front().first + kept_for <= now || this->kept_bytes > kept_bytes_limit))
        this->drop_oldest();
}

void resend_table::drop_oldest()
{
    const auto [when, key] = std::move(this->ended.front());
    this->ended.pop_front();
    const auto found = this->records.find(key);
    // A key that was used again since has a later place in the line.
    if (found == this->records.end() || found->second.in_progress || found->second.ended != when)
        return;
    this->kept_bytes -= size_of(found->second.answer);
    this->records.erase(found);
}

std::size_t resend_table::size() const
{
    return this->records.size();
}

} // namespace verbenalever
