#include "load_generator.h"

#include "flags.h"
#include "loop/unique_id.h"
#include "session.h"

#include <fmt/format.h>

#include <charconv>

#include <sys/timerfd.h>
#include <unistd.h>

namespace tool {

using verbenalever::http_call;
using verbenalever::http_result;
using verbenalever::microseconds;
using verbenalever::milliseconds;
using verbenalever::monotonic_clock;
using verbenalever::monotonic_time;

namespace {

constexpr double microseconds_per_millisecond = 1000;
constexpr std::int64_t nanoseconds_per_second = 1'000'000'000;
constexpr std::size_t run_id_bytes = 8;

std::vector<std::string> split(std::string_view text)
{
    std::vector<std::string> parts;
    while (!text.empty()) {
        const auto comma = text.find(',');
        parts.emplace_back(text.substr(0, comma));
        text = comma == std::string_view::npos ? std::string_view() : text.substr(comma + 1);
    }
    return parts;
}

double to_milliseconds(microseconds duration)
{
    return static_cast<double>(duration.count()) / microseconds_per_millisecond;
}

} // namespace

load_generator::load_generator(session& current_session)
    : current_session(current_session), random(FLAGS_seed),
      entries(split(FLAGS_to.empty() ? FLAGS_entry : FLAGS_to)),
      keys(split(FLAGS_keys.empty() ? FLAGS_key : FLAGS_keys)),
      run_id(verbenalever::random_hex(run_id_bytes)),
      timer_descriptor(::timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC)),
      timer_watcher(current_session.loop(), this->timer_descriptor,
                    [this](bool, bool) { this->on_timer(); })
{
    this->timer_watcher.watch(true, false);
    for (const auto& part : split(FLAGS_queues.empty() ? "default" : FLAGS_queues)) {
        const auto equals = part.find('=');
        weighted_queue parsed{.queue = part.substr(0, equals)};
        if (equals != std::string::npos)
            std::from_chars(part.data() + equals + 1, part.data() + part.size(), parsed.weight);
        this->queue_mix.push_back(std::move(parsed));
    }
}

load_generator::~load_generator()
{
    this->timer_watcher.watch(false, false);
    ::close(this->timer_descriptor);
}

void load_generator::on_timer()
{
    std::uint64_t expirations = 0;
    if (::read(this->timer_descriptor, &expirations, sizeof expirations) > 0)
        this->send_due_requests();
}

void load_generator::run()
{
    this->next_due = monotonic_clock::now();
    this->sending_end =
        this->next_due + microseconds(static_cast<std::int64_t>(FLAGS_duration_s * 1e6));
    this->arm_timer_or_stop();
    this->current_session.loop().run();
}

std::int64_t load_generator::answered() const
{
    std::int64_t total = 0;
    for (const auto& [queue, result] : this->statistics_by_queue)
        total += result.answered;
    return total;
}

void load_generator::send_due_requests()
{
    const auto now = monotonic_clock::now();
    std::exponential_distribution<double> interarrival_time(FLAGS_rate);
    while (this->next_due <= now && this->next_due < this->sending_end) {
        this->send(this->next_due);
        this->next_due +=
            microseconds(static_cast<std::int64_t>(interarrival_time(this->random) * 1e6));
    }
    this->arm_timer_or_stop();
}

void load_generator::arm_timer_or_stop()
{
    if (this->next_due < this->sending_end) {
        const auto wait = std::chrono::duration_cast<std::chrono::nanoseconds>(
            this->next_due - monotonic_clock::now());
        // A value of zero would disarm the timer.
        const auto remaining_ns = std::max(wait, std::chrono::nanoseconds(1)).count();
        const itimerspec setting{.it_interval = {},
                                 .it_value = {.tv_sec = remaining_ns / nanoseconds_per_second,
                                              .tv_nsec = remaining_ns % nanoseconds_per_second}};
        ::timerfd_settime(this->timer_descriptor, 0, &setting, nullptr);
    }
    else if (this->outstanding == 0) {
        this->current_session.loop().stop();
    }
}

const std::string& load_generator::pick_queue()
{
    double total = 0;
    for (const auto& part : this->queue_mix)
        total += part.weight;
    auto remaining_weight = std::uniform_real_distribution<double>(0, total)(this->random);
    for (const auto& part : this->queue_mix) {
        remaining_weight -= part.weight;
        if (remaining_weight < 0)
            return part.queue;
    }
    return this->queue_mix.back().queue;
}

void load_generator::send(monotonic_time due_at)
{
    const auto& queue = this->pick_queue();
    const auto number = this->sent++;
    const auto& entry = this->entries[number % this->entries.size()];
    const auto path = FLAGS_path.empty() ? "/v1/requests/" + queue : FLAGS_path;
    http_call call{.method = "POST",
                   .url = fmt::format("http://{}{}", entry, path),
                   .headers = {{"Repeatable", FLAGS_repeatable ? "true" : "false"},
                               {"Content-Type", "application/json"}},
                   .body = fmt::format(R"({{"work_ms":{}}})", FLAGS_work_ms),
                   .timeout = milliseconds(FLAGS_timeout_ms)};
    if (!this->keys.empty())
        call.headers.push_back(
            {"Authorization", "Bearer " + this->keys[number % this->keys.size()]});
    if (FLAGS_deadline_ms > 0)
        call.headers.push_back({"Deadline-Ms", fmt::format("{}", FLAGS_deadline_ms)});
    if (FLAGS_request_ids)
        call.headers.push_back({"Request-Id", fmt::format("load-{}-{}", this->run_id, number)});
    ++this->outstanding;
    ++this->statistics_by_queue[queue].sent;
    this->current_session.client().start(std::move(call),
                                         [this, queue, due_at](const http_result& result) {
                                             this->on_response(queue, due_at, result);
                                         });
}

void load_generator::on_response(const std::string& queue, monotonic_time due_at,
                                 const http_result& result)
{
    auto& statistics = this->statistics_by_queue[queue];
    if (result.success()) {
        ++statistics.answered;
        statistics.latency.add(
            std::chrono::duration_cast<microseconds>(monotonic_clock::now() - due_at));
    }
    else if (result.transport.ok() && result.body.find("\"not_run\"") != std::string::npos) {
        ++statistics.not_run;
    }
    else {
        ++statistics.unknown;
    }
    --this->outstanding;
    if (this->next_due >= this->sending_end && this->outstanding == 0)
        this->current_session.loop().stop();
}

void load_generator::print_report() const
{
    nlohmann::ordered_json report = nlohmann::ordered_json::array();
    for (const auto& [queue, statistics] : this->statistics_by_queue)
        report.push_back({{"queue", queue},
                          {"sent", statistics.sent},
                          {"answered", statistics.answered},
                          {"not_run", statistics.not_run},
                          {"unknown", statistics.unknown},
                          {"p50_ms", to_milliseconds(statistics.latency.quantile(0.5))},
                          {"p99_ms", to_milliseconds(statistics.latency.quantile(0.99))}});
    if (FLAGS_json) {
        fmt::print("{}\n", report.dump());
        return;
    }
    constexpr auto csv_format = "{},{},{},{},{},{},{}\n";
    constexpr auto table_format = "{:<16}{:>10}{:>10}{:>10}{:>10}{:>10}{:>10}\n";
    const auto row_format = FLAGS_csv ? csv_format : table_format;
    fmt::print(fmt::runtime(row_format), "queue", "sent", "answered", "not_run", "unknown",
               "p50_ms", "p99_ms");
    for (const auto& row : report)
        fmt::print(fmt::runtime(row_format), row["queue"].get<std::string>(),
                   row["sent"].get<int>(), row["answered"].get<int>(), row["not_run"].get<int>(),
                   row["unknown"].get<int>(), row["p50_ms"].get<double>(),
                   row["p99_ms"].get<double>());
}

} // namespace tool
