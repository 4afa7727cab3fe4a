#include "jobs/record_writer.h"

#include "store/kv_client.h"
#include "timeline/counters.h"

namespace verbenalever {

namespace {

constexpr milliseconds write_interval{20}; ///< at most one new write in each
constexpr milliseconds retry_delay{300};
constexpr std::size_t most_in_flight = 16;

} // namespace

record_writer::record_writer(event_loop& loop, kv_client& store, counters& metrics)
    : store(store), metrics(metrics), write_timer(loop, [this] { this->tick(); })
{
    this->write_timer.start_repeating(write_interval);
}

record_writer::~record_writer() = default;

void record_writer::add(write next)
{
    this->waiting.push_back(std::move(next));
}

void record_writer::tick()
{
    const auto now = monotonic_clock::now();
    while (!this->retries.empty() && this->retries.front().first <= now) {
        const auto action = std::move(this->retries.front().second);
        this->retries.pop_front();
        action();
    }
    if (this->waiting.empty() || this->in_flight >= most_in_flight)
        return;
    auto current = std::make_shared<attempt>(attempt{std::move(this->waiting.front()), {}});
    this->waiting.pop_front();
    current->text = current->what.text();
    if (current->text.empty())
        return;
    ++this->in_flight;
    this->put(current);
}

void record_writer::put(const attempt_ptr& current)
{
    this->metrics.add("job_record_writes");
    this->metrics.add("job_record_bytes", static_cast<std::int64_t>(current->text.size()));
    this->store.put(
        current->what.key, current->text, current->what.expected,
        [this, current, alive = std::weak_ptr(this->alive)](absl::StatusOr<std::int64_t> revision) {
            if (alive.expired())
                return;
            if (!revision.ok())
                return this->read_back(current);
            --this->in_flight;
            current->what.done(revision);
        });
}

void record_writer::read_back(const attempt_ptr& current)
{
    this->metrics.add("job_records_read_back");
    this->store.get(current->what.key, [this, current, alive = std::weak_ptr(this->alive)](
                                           absl::StatusOr<kv_entry> entry) {
        if (alive.expired())
            return;
        if (entry.ok() && entry->value == current->text) {
            --this->in_flight;
            return current->what.done(entry->revision);
        }
        if (entry.ok() && entry->revision > current->what.expected) {
            --this->in_flight;
            return current->what.done(absl::AbortedError("another process wrote the record"));
        }
        // The write has not taken effect in what the store shows; the same one may be sent again.
        if (entry.ok() || absl::IsNotFound(entry.status()))
            return this->retry_later([this, current] { this->put(current); });
        this->retry_later([this, current] { this->read_back(current); });
    });
}

void record_writer::retry_later(std::function<void()> action)
{
    this->retries.emplace_back(monotonic_clock::now() + retry_delay, std::move(action));
}

} // namespace verbenalever
