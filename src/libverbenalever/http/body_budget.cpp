#include "http/body_budget.h"

#include <algorithm>

namespace verbenalever {

namespace {

/// Fewer bytes than this do not count as progress, so that a client that sends single bytes is
/// ended like one that sends nothing.
constexpr std::size_t progress_bytes = 1024;
/// Connections that made progress within this time are not ended to make room for others.
constexpr milliseconds min_stall{250};
/// The clients of one address may use all memory but this part.
constexpr std::size_t other_addresses_part = 4;
/// Decrease of the memory in use after which it is given back to the system.
constexpr std::size_t trim_bytes = 4U << 20U;
/// Decrease of the number of connections after which their memory is given back.
constexpr std::size_t trim_connections = 256;

/// Part of the connections that is ended, where idle, when there are too many.
constexpr std::size_t room_part = 8;

constexpr std::size_t bytes_per_mb = 1U << 20U;
/// Memory that the limits are derived from when the settings do not name it.
constexpr std::size_t default_memory_mb = 160;
/// The smallest VMs have 120 MB: 15 MB for large bodies, 7.5 MB for small ones.
constexpr std::size_t large_part = 8;
constexpr std::size_t small_part = 16;
constexpr milliseconds no_progress_limit{10'000};
/// A body of 262,144 bytes at 35 kbit/s, or 1/280 of the narrowest link.
constexpr milliseconds whole_body_limit{60'000};
constexpr milliseconds no_request_limit{20'000};
/// Part of the connections that are kept free for new clients.
constexpr std::size_t free_connections_part = 16;
/// Peers, the store, the advisor, and one connection to each of 1,000 targets.
constexpr std::size_t reserved_descriptors = 1'100;
constexpr std::size_t min_connections = 64;

} // namespace

body_budget_limits body_budget_limits::of_vm(std::size_t memory_mb, std::size_t connections,
                                             std::size_t body_bytes)
{
    const auto memory = (memory_mb == 0 ? default_memory_mb : memory_mb) * bytes_per_mb;
    const auto one_body = body_bytes + body_bytes / (other_addresses_part - 1) + 1;
    return {.small_bytes = memory / small_part,
            .large_bytes = std::max(memory / large_part, one_body),
            .connections = connections - connections / free_connections_part,
            .no_progress = no_progress_limit,
            .whole_body = whole_body_limit,
            .no_request = no_request_limit};
}

unsigned connection_limit(std::size_t max_descriptors, unsigned most)
{
    if (max_descriptors == 0)
        return most;
    const auto left = max_descriptors - std::min(max_descriptors, reserved_descriptors);
    return static_cast<unsigned>(std::clamp<std::size_t>(left, min_connections, most));
}

std::size_t& body_budget::usage::of(pool which)
{
    return which == pool::small ? this->small : this->large;
}

body_budget::body_budget(const body_budget_limits& limits) : limits(limits) {}

void body_budget::open(connection_id id, std::string_view address, monotonic_time now)
{
    this->endable.push_back({.id = id, .address = std::string(address), .last_progress = now});
    this->by_id[id] = std::prev(this->endable.end());
    ++this->by_address[std::string(address)].connections;
    this->peak_connections = std::max(this->peak_connections, this->by_id.size());
}

bool body_budget::is_crowded() const
{
    return this->by_id.size() - this->ended_count >= this->limits.connections;
}

std::vector<body_budget::connection_id> body_budget::end_idle(monotonic_time now)
{
    std::vector<connection_id> ended;
    if (!this->is_crowded())
        return ended;
    const auto wanted = this->limits.connections - this->limits.connections / room_part;
    while (this->by_id.size() - this->ended_count >= wanted && !this->endable.empty() &&
           now - this->endable.front().last_progress >= min_stall) {
        ended.push_back(this->endable.front().id);
        this->end(this->endable.begin());
    }
    return ended;
}

void body_budget::start_body(connection_id id, monotonic_time now)
{
    const auto found = this->by_id.at(id);
    if (found->now_in != phase::waiting)
        return;
    found->now_in = phase::receiving;
    found->body_started = now;
    this->mark_progress(found, now);
}

body_budget::verdict body_budget::reserve(connection_id id, std::size_t bytes, monotonic_time now)
{
    const auto asking = this->by_id.at(id);
    if (asking->now_in == phase::ended)
        return {};
    this->uncharge(*asking);
    const auto wanted = bytes <= this->limits.small_body_bytes ? pool::small : pool::large;
    const auto limit = this->limit_of(wanted);
    const auto address_limit = limit - limit / other_addresses_part;
    auto& of_address = this->by_address.find(asking->address)->second;
    const auto excess = [bytes](std::size_t used, std::size_t most) {
        if (bytes > most)
            return body_budget_limits::unlimited;
        return used > most - bytes ? used - (most - bytes) : 0;
    };
    auto lacking = excess(this->total.of(wanted), limit);
    auto address_lacking = excess(of_address.of(wanted), address_limit);
    std::vector<entry_list::iterator> victims;
    for (auto found = this->endable.begin();
         found != this->endable.end() && (lacking > 0 || address_lacking > 0) &&
         now - found->last_progress >= min_stall;
         ++found) {
        const bool same_address = found->address == asking->address;
        if (found == asking || found->charged_to != wanted || (lacking == 0 && !same_address))
            continue;
        victims.push_back(found);
        lacking -= std::min(lacking, found->charged);
        if (same_address)
            address_lacking -= std::min(address_lacking, found->charged);
    }
    if (lacking > 0 || address_lacking > 0) {
        this->end(asking);
        return {};
    }
    verdict result{.granted = true};
    for (const auto victim : victims) {
        result.ended.push_back(victim->id);
        this->end(victim);
    }
    asking->charged = bytes;
    asking->charged_to = wanted;
    this->total.of(wanted) += bytes;
    of_address.of(wanted) += bytes;
    this->peak_bytes = std::max(this->peak_bytes, this->bytes());
    return result;
}

void body_budget::receive(connection_id id, std::size_t bytes, monotonic_time now)
{
    const auto found = this->by_id.at(id);
    found->since_progress += bytes;
    if (found->now_in == phase::receiving && found->since_progress >= progress_bytes)
        this->mark_progress(found, now);
}

void body_budget::finish_body(connection_id id)
{
    const auto found = this->by_id.at(id);
    if (found->now_in != phase::receiving)
        return;
    found->now_in = phase::handling;
    this->large_body_handled = this->large_body_handled || found->charged_to == pool::large;
    this->others.splice(this->others.end(), this->endable, found);
}

void body_budget::release(connection_id id)
{
    this->uncharge(*this->by_id.at(id));
}

void body_budget::finish_request(connection_id id, monotonic_time now)
{
    const auto found = this->by_id.at(id);
    this->uncharge(*found);
    if (found->now_in == phase::ended)
        return;
    if (found->now_in == phase::handling)
        this->endable.splice(this->endable.end(), this->others, found);
    found->now_in = phase::waiting;
    this->mark_progress(found, now);
}

void body_budget::close(connection_id id)
{
    const auto found = this->by_id.find(id);
    if (found == this->by_id.end())
        return;
    const auto connection = found->second;
    this->uncharge(*connection);
    const auto address = this->by_address.find(connection->address);
    if (--address->second.connections == 0)
        this->by_address.erase(address);
    const bool in_others =
        connection->now_in == phase::handling || connection->now_in == phase::ended;
    if (connection->now_in == phase::ended)
        --this->ended_count;
    (in_others ? this->others : this->endable).erase(connection);
    this->by_id.erase(found);
}

bool body_budget::is_ended(connection_id id) const
{
    const auto found = this->by_id.find(id);
    return found == this->by_id.end() || found->second->now_in == phase::ended;
}

std::vector<body_budget::connection_id> body_budget::end_overdue(monotonic_time now)
{
    std::vector<connection_id> ended;
    for (auto found = this->endable.begin(); found != this->endable.end();) {
        const auto next = std::next(found);
        if (this->is_overdue(*found, now)) {
            ended.push_back(found->id);
            this->end(found);
        }
        found = next;
    }
    return ended;
}

bool body_budget::take_trim_request()
{
    const bool due = this->large_body_handled || this->peak_bytes - this->bytes() >= trim_bytes ||
                     this->peak_connections - this->by_id.size() >= trim_connections;
    if (due) {
        this->peak_bytes = this->bytes();
        this->peak_connections = this->by_id.size();
        this->large_body_handled = false;
    }
    return due;
}

std::size_t body_budget::bytes() const
{
    return this->total.small + this->total.large;
}

std::size_t body_budget::connections() const
{
    return this->by_id.size();
}

std::size_t body_budget::limit_of(pool which) const
{
    return which == pool::small ? this->limits.small_bytes : this->limits.large_bytes;
}

void body_budget::uncharge(entry& connection)
{
    if (connection.charged_to == pool::none)
        return;
    this->total.of(connection.charged_to) -= connection.charged;
    this->by_address.find(connection.address)->second.of(connection.charged_to) -=
        connection.charged;
    connection.charged = 0;
    connection.charged_to = pool::none;
}

void body_budget::mark_progress(entry_list::iterator connection, monotonic_time now)
{
    connection->since_progress = 0;
    connection->last_progress = now;
    this->endable.splice(this->endable.end(), this->endable, connection);
}

void body_budget::end(entry_list::iterator connection)
{
    this->uncharge(*connection);
    connection->now_in = phase::ended;
    ++this->ended_count;
    this->others.splice(this->others.end(), this->endable, connection);
}

bool body_budget::is_overdue(const entry& connection, monotonic_time now) const
{
    const auto passed = [now](monotonic_time since, milliseconds limit) {
        // The largest value, which stands for no limit, overflows in the units of the clock.
        return limit != milliseconds::max() && now - since >= limit;
    };
    if (connection.now_in == phase::waiting)
        return passed(connection.last_progress, this->limits.no_request);
    return passed(connection.last_progress, this->limits.no_progress) ||
           passed(connection.body_started, this->limits.whole_body);
}

} // namespace verbenalever
