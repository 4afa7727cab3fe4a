#include "targets/target_health.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <vector>

namespace verbenalever {

namespace {

constexpr double decay_time_constant_s = 10;
constexpr milliseconds decay_interval{500};
/// Counts that have decayed below this many results are dropped.
constexpr double min_counted_results = 0.05;
/// Counts are scaled down to this many results, so that failures show soon after many successes.
constexpr double max_counted_results = 16;
/// Results needed on a target before it is judged, and on another one to be in its baseline.
constexpr double min_results_to_judge = 4;
constexpr double min_results_to_compare = 2;
/// A target is unhealthy if its failure rate exceeds the baseline by this much.
constexpr double unhealthy_excess_failure_rate = 0.5;
constexpr milliseconds initial_probe_interval{500};
constexpr milliseconds max_probe_interval{8000};
/// The next probe may be sent this long after an unanswered one.
constexpr milliseconds probe_timeout{10'000};
constexpr int probes_to_recover = 3;

} // namespace

bool target_health::accepts_work(std::string_view target, monotonic_time now) const
{
    const auto found = this->probations.find(target);
    if (found == this->probations.end())
        return true;
    const auto& state = found->second;
    return now >= (state.probe_in_flight ? state.probe_due + probe_timeout : state.probe_due);
}

bool target_health::on_probation(std::string_view target) const
{
    return this->probations.contains(target);
}

void target_health::record_start(std::string_view target, monotonic_time now)
{
    if (const auto found = this->probations.find(target); found != this->probations.end()) {
        found->second.probe_in_flight = true;
        found->second.probe_due = now;
    }
}

bool target_health::record_end(std::string_view target, std::string_view source, bool failed,
                               monotonic_time now)
{
    this->decay(now);
    if (this->probations.contains(target))
        return this->record_probe_end(target, failed, now);
    auto& by_target = this->counts_by_source[std::string(source)];
    auto& count = by_target[std::string(target)];
    const auto scale = std::min(1.0, (max_counted_results - 1) / std::max(count.ended, 1.0));
    count.ended = count.ended * scale + 1;
    count.failed = count.failed * scale + (failed ? 1 : 0);
    if (!failed || !this->is_unhealthy(target) || !this->may_put_another_on_probation())
        return false;
    this->probations[std::string(target)] = {.probe_due = now + initial_probe_interval,
                                             .interval = initial_probe_interval};
    return true;
}

bool target_health::record_probe_end(std::string_view target, bool failed, monotonic_time now)
{
    auto& state = this->probations.find(target)->second;
    // Results of work sent before the probation began are ignored while no probe is in flight.
    if (!state.probe_in_flight)
        return false;
    state.probe_in_flight = false;
    if (failed) {
        state.successes = 0;
        state.interval = std::min(2 * state.interval, max_probe_interval);
        state.probe_due = now + state.interval;
        return false;
    }
    state.probe_due = now;
    if (++state.successes < probes_to_recover)
        return false;
    this->probations.erase(this->probations.find(target));
    for (auto& [source, by_target] : this->counts_by_source) {
        if (const auto count = by_target.find(target); count != by_target.end())
            by_target.erase(count);
    }
    return true;
}

std::optional<double> target_health::baseline_failure_rate(const counts_by_target& by_target,
                                                           std::string_view excluded_target)
{
    std::vector<double> rates;
    for (const auto& [name, count] : by_target) {
        if (name != excluded_target && count.ended >= min_results_to_compare)
            rates.push_back(count.failed / count.ended);
    }
    if (rates.empty())
        return std::nullopt;
    const auto quartile = rates.begin() + static_cast<std::ptrdiff_t>(rates.size() / 4);
    std::nth_element(rates.begin(), quartile, rates.end());
    return *quartile;
}

bool target_health::is_unhealthy(std::string_view target) const
{
    double results = 0;
    double excess_failures = 0;
    for (const auto& [source, by_target] : this->counts_by_source) {
        const auto own = by_target.find(target);
        if (own == by_target.end())
            continue;
        const auto baseline = target_health::baseline_failure_rate(by_target, target);
        if (!baseline)
            continue;
        results += own->second.ended;
        excess_failures += own->second.failed - own->second.ended * *baseline;
    }
    return results >= min_results_to_judge &&
           excess_failures >= unhealthy_excess_failure_rate * results;
}

bool target_health::may_put_another_on_probation() const
{
    return 2 * (this->probations.size() + 1) <= this->known_target_count();
}

std::size_t target_health::known_target_count() const
{
    std::set<std::string_view> names;
    for (const auto& [source, by_target] : this->counts_by_source) {
        for (const auto& [name, count] : by_target)
            names.insert(name);
    }
    for (const auto& [name, state] : this->probations)
        names.insert(name);
    return names.size();
}

void target_health::decay(monotonic_time now)
{
    if (now - this->decayed_at < decay_interval)
        return;
    const auto elapsed = std::chrono::duration<double>(now - this->decayed_at).count();
    const auto scale = std::exp(-elapsed / decay_time_constant_s);
    this->decayed_at = now;
    for (auto& [source, by_target] : this->counts_by_source) {
        for (auto& [name, count] : by_target) {
            count.ended *= scale;
            count.failed *= scale;
        }
        std::erase_if(by_target,
                      [](const auto& entry) { return entry.second.ended < min_counted_results; });
    }
    std::erase_if(this->counts_by_source, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace verbenalever
