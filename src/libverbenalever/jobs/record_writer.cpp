#include "jobs/record_writer.h"

#include "store/kv_client.h"
#include "timeline/counters.h"

namespace verbenalever {

namespace {

constexpr milliseconds write_interval{20}; ///< at most one new write is sent per interval
constexpr milliseconds retry_delay{300};
constexpr std::size_t max_in_flight = 16;

} // namespace

record_writer::record_writer(event_loop& loop, kv_client& store, counters& metrics)
    : store(store), metrics(metrics), write_timer(loop, [this] { this->tick(); })
{
    this->write_timer.start_repeating(write_interval);
}

record_writer::~record_writer() = default;

void record_writer::add(write_request next)
{
    this->queue.push_back(std::move(next));
}

void record_writer::tick()
{
    const auto now = monotonic_clock::now();
    while (!this->retries.empty() && this->retries.front().first <= now) {
        const auto action = std::move(this->retries.front().second);
        this->retries.pop_front();
        action();
    }
    if (this->queue.empty() || this->in_flight >= max_in_flight)
        return;
    auto current =
        std::make_shared<pending_write>(pending_write{std::move(this->queue.front()), {}});
    this->queue.pop_front();
    current->text = current->request.make_text();
    if (current->text.empty())
        return;
    ++this->in_flight;
    this->send_write(current);
}

void record_writer::send_write(const pending_write_ptr& current)
{
    this->metrics.add("job_record_writes");
    this->metrics.add("job_record_bytes", static_cast<std::int64_t>(current->text.size()));
    this->store.put(
        current->request.key, current->text, current->request.expected_revision,
        [this, current, alive = std::weak_ptr(this->alive)](absl::StatusOr<std::int64_t> revision) {
            if (alive.expired())
                return;
            if (!revision.ok())
                return this->read_back(current);
            --this->in_flight;
            current->request.done(revision);
        });
}

void record_writer::read_back(const pending_write_ptr& current)
{
    this->metrics.add("job_records_read_back");
    this->store.get(current->request.key, [this, current, alive = std::weak_ptr(this->alive)](
                                              absl::StatusOr<kv_entry> entry) {
        if (alive.expired())
            return;
        if (entry.ok() && entry->value == current->text) {
            --this->in_flight;
            return current->request.done(entry->revision);
        }
        if (entry.ok() && entry->revision > current->request.expected_revision) {
            --this->in_flight;
            return current->request.done(absl::AbortedError("another process wrote the record"));
        }
        // The read shows no effect of the write. Sending it again is safe: the expected revision
        // and the text are the same.
        if (entry.ok() || absl::IsNotFound(entry.status()))
            return this->retry_later([this, current] { this->send_write(current); });
        this->retry_later([this, current] { this->read_back(current); });
    });
}

void record_writer::retry_later(std::function<void()> action)
{
    this->retries.emplace_back(monotonic_clock::now() + retry_delay, std::move(action));
}

} // namespace verbenalever
