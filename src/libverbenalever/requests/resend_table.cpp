#include "requests/resend_table.h"

#include "loop/unique_id.h"

#include <fmt/format.h>

namespace verbenalever {

namespace {

constexpr std::chrono::seconds answer_retention{60};
constexpr std::size_t max_stored_bytes = 4U << 20U;
constexpr std::size_t record_overhead_bytes = 512;

std::size_t stored_size(const std::optional<request_answer>& answer)
{
    return record_overhead_bytes + (answer ? answer->response.body.size() : 0);
}

} // namespace

bool resend_table::begin_or_join(const std::string& key, const request_responder& respond,
                                 monotonic_time now)
{
    this->expire(now);
    auto [position, is_new] = this->records.try_emplace(key);
    auto& entry = position->second;
    if (is_new) {
        entry.claim_writer = make_unique_id("claim");
        return true;
    }
    if (entry.in_progress) {
        entry.joined_responders.push_back(respond);
        return false;
    }
    if (entry.answer) {
        respond(*entry.answer);
        return false;
    }
    entry.in_progress = true;
    ++entry.begin_count;
    this->stored_bytes -= stored_size(entry.answer);
    return true;
}

std::string resend_table::claim_writer(const std::string& key) const
{
    const auto& entry = this->records.at(key);
    return fmt::format("{}.{}", entry.claim_writer, entry.begin_count);
}

void resend_table::finish(const std::string& key, const request_answer& answer, monotonic_time now)
{
    auto& entry = this->records.at(key);
    entry.in_progress = false;
    entry.ended_at = now;
    if (answer.repeat_to_resends && answer.outcome != attempt_outcome::not_run)
        entry.answer = answer;
    this->stored_bytes += stored_size(entry.answer);
    this->ended_keys.emplace_back(now, key);
    const auto joined_responders = std::exchange(entry.joined_responders, {});
    this->expire(now);
    for (const auto& respond : joined_responders)
        respond(answer);
}

void resend_table::expire(monotonic_time now)
{
    while (!this->ended_keys.empty() && (this->ended_keys.front().first + answer_retention <= now ||
                                         this->stored_bytes > max_stored_bytes))
        this->drop_oldest();
}

void resend_table::drop_oldest()
{
    const auto [end_time, key] = std::move(this->ended_keys.front());
    this->ended_keys.pop_front();
    const auto position = this->records.find(key);
    // A key that was used again since has a later entry in ended_keys.
    if (position == this->records.end() || position->second.in_progress ||
        position->second.ended_at != end_time)
        return;
    this->stored_bytes -= stored_size(position->second.answer);
    this->records.erase(position);
}

std::size_t resend_table::size() const
{
    return this->records.size();
}

} // namespace verbenalever
