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

double in_milliseconds(microseconds span)
{
    return static_cast<double>(span.count()) / microseconds_per_millisecond;
}

} // namespace

load_generator::load_generator(session& state)
    : state(state), random(FLAGS_seed), entries(split(FLAGS_to.empty() ? FLAGS_entry : FLAGS_to)),
      keys(split(FLAGS_keys.empty() ? FLAGS_key : FLAGS_keys)),
      run_id(verbenalever::random_hex(run_id_bytes)),
      timer_descriptor(::timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC)),
      timer_watcher(state.loop(), this->timer_descriptor, [this](bool, bool) { this->due(); })
{
    this->timer_watcher.watch(true, false);
    for (const auto& part : split(FLAGS_queues.empty() ? "default" : FLAGS_queues)) {
        const auto equals = part.find('=');
        mix_part parsed{.queue = part.substr(0, equals)};
        if (equals != std::string::npos)
            std::from_chars(part.data() + equals + 1, part.data() + part.size(), parsed.weight);
        this->mix.push_back(std::move(parsed));
    }
}

load_generator::~load_generator()
{
    this->timer_watcher.watch(false, false);
    ::close(this->timer_descriptor);
}

void load_generator::due()
{
    std::uint64_t expirations = 0;
    if (::read(this->timer_descriptor, &expirations, sizeof expirations) > 0)
        this->send_due();
}

void load_generator::run()
{
    this->next_due = monotonic_clock::now();
    this->end = this->next_due + microseconds(static_cast<std::int64_t>(FLAGS_duration_s * 1e6));
    this->schedule();
    this->state.loop().run();
}

std::int64_t load_generator::answered() const
{
    std::int64_t total = 0;
    for (const auto& [queue, result] : this->results)
        total += result.answered;
    return total;
}

void load_generator::send_due()
{
    const auto now = monotonic_clock::now();
    std::exponential_distribution<double> gap(FLAGS_rate);
    while (this->next_due <= now && this->next_due < this->end) {
        this->send(this->next_due);
        this->next_due += microseconds(static_cast<std::int64_t>(gap(this->random) * 1e6));
    }
    this->schedule();
}

void load_generator::schedule()
{
    if (this->next_due < this->end) {
        const auto wait = std::chrono::duration_cast<std::chrono::nanoseconds>(
            this->next_due - monotonic_clock::now());
        // Zero would disarm the timer.
        const auto left = std::max(wait, std::chrono::nanoseconds(1)).count();
        const itimerspec setting{.it_interval = {},
                                 .it_value = {.tv_sec = left / nanoseconds_per_second,
                                              .tv_nsec = left % nanoseconds_per_second}};
        ::timerfd_settime(this->timer_descriptor, 0, &setting, nullptr);
    }
    else if (this->outstanding == 0) {
        this->state.loop().stop();
    }
}

const std::string& load_generator::pick_queue()
{
    double total = 0;
    for (const auto& part : this->mix)
        total += part.weight;
    auto left = std::uniform_real_distribution<double>(0, total)(this->random);
    for (const auto& part : this->mix) {
        left -= part.weight;
        if (left < 0)
            return part.queue;
    }
    return this->mix.back().queue;
}

void load_generator::send(monotonic_time due)
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
    ++this->results[queue].sent;
    this->state.client().start(std::move(call), [this, queue, due](const http_result& result) {
        this->ended(queue, due, result);
    });
}

void load_generator::ended(const std::string& queue, monotonic_time due, const http_result& result)
{
    auto& figures = this->results[queue];
    if (result.success()) {
        ++figures.answered;
        figures.latency.add(std::chrono::duration_cast<microseconds>(monotonic_clock::now() - due));
    }
    else if (result.transport.ok() && result.body.find("\"not_run\"") != std::string::npos) {
        ++figures.not_run;
    }
    else {
        ++figures.unknown;
    }
    --this->outstanding;
    if (this->next_due >= this->end && this->outstanding == 0)
        this->state.loop().stop();
}

void load_generator::print_report() const
{
    nlohmann::ordered_json report = nlohmann::ordered_json::array();
    for (const auto& [queue, figures] : this->results)
        report.push_back({{"queue", queue},
                          {"sent", figures.sent},
                          {"answered", figures.answered},
                          {"not_run", figures.not_run},
                          {"unknown", figures.unknown},
                          {"p50_ms", in_milliseconds(figures.latency.quantile(0.5))},
                          {"p99_ms", in_milliseconds(figures.latency.quantile(0.99))}});
    if (FLAGS_json) {
        fmt::print("{}\n", report.dump());
        return;
    }
    constexpr auto csv_line = "{},{},{},{},{},{},{}\n";
    constexpr auto table_line = "{:<16}{:>10}{:>10}{:>10}{:>10}{:>10}{:>10}\n";
    const auto line = FLAGS_csv ? csv_line : table_line;
    fmt::print(fmt::runtime(line), "queue", "sent", "answered", "not_run", "unknown", "p50_ms",
               "p99_ms");
    for (const auto& row : report)
        fmt::print(fmt::runtime(line), row["queue"].get<std::string>(), row["sent"].get<int>(),
                   row["answered"].get<int>(), row["not_run"].get<int>(), row["unknown"].get<int>(),
                   row["p50_ms"].get<double>(), row["p99_ms"].get<double>());
}

} // namespace tool
