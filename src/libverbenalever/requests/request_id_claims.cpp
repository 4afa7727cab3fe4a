#include "requests/request_id_claims.h"

#include "store/kv_client.h"
#include "store/kv_entry.h"
#include "timeline/counters.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace verbenalever {

namespace {

/// A claim remains in the store for at least this long.
constexpr std::chrono::minutes min_claim_duration{10};
/// Claims written within this time share one store lease.
constexpr std::chrono::minutes lease_reuse_period{5};
constexpr int max_writes = 2;
/// After this the key is read back; short, so that the request still has time left.
constexpr milliseconds write_timeout{250};

std::string store_key(const std::string& key)
{
    return "requests/" + key;
}

std::string string_field(const nlohmann::json& claim, const char* name)
{
    if (!claim.is_object() || !claim.contains(name) || !claim[name].is_string())
        return {};
    return claim[name].get<std::string>();
}

std::string_view process_prefix(std::string_view writer)
{
    return writer.substr(0, writer.rfind('.'));
}

} // namespace

request_id_claims::request_id_claims(kv_client& store, counters& metrics, std::string address)
    : store(store), metrics(metrics), address(std::move(address))
{
}

void request_id_claims::claim(const std::string& key, const std::string& writer, callback done)
{
    this->metrics.add("request_claims");
    this->with_store_lease([this, key, writer, done = std::move(done)](
                               const absl::StatusOr<std::int64_t>& granted) mutable {
        if (!granted.ok())
            return done(result::unavailable, {});
        this->write({.key = key,
                     .writer = writer,
                     .lease = *granted,
                     .writes_left = max_writes,
                     .done = std::move(done)});
    });
}

void request_id_claims::with_store_lease(lease_callback done)
{
    const auto now = monotonic_clock::now();
    if (this->lease != 0 && now < this->lease_reusable_until)
        return done(this->lease);
    this->lease_callbacks.push_back(std::move(done));
    if (this->lease_callbacks.size() > 1)
        return;
    this->store.grant_lease(min_claim_duration + lease_reuse_period,
                            [this, now](const absl::StatusOr<std::int64_t>& granted) {
                                this->handle_store_lease(granted, now);
                            });
}

void request_id_claims::handle_store_lease(absl::StatusOr<std::int64_t> granted,
                                           monotonic_time requested_at)
{
    if (granted.ok()) {
        this->lease = *granted;
        this->lease_reusable_until = requested_at + lease_reuse_period;
    }
    const auto callbacks = std::exchange(this->lease_callbacks, {});
    for (const auto& done : callbacks)
        done(granted);
}

void request_id_claims::write(claim_attempt claim)
{
    const nlohmann::json value = {{"writer", claim.writer}, {"entry", this->address}};
    const auto key = store_key(claim.key);
    const auto expected = claim.expected;
    const auto lease = claim.lease;
    --claim.writes_left;
    this->store.put(key, value.dump(), expected,
                    [this, claim = std::move(claim)](const absl::StatusOr<std::int64_t>& revision) {
                        if (revision.ok())
                            return claim.done(result::claimed, this->address);
                        this->read_back(claim);
                    },
                    {.lease = lease, .timeout = write_timeout});
}

void request_id_claims::read_back(claim_attempt claim)
{
    this->metrics.add("request_claims_read_back");
    const auto key = store_key(claim.key);
    this->store.get(key, [this, claim = std::move(claim)](const absl::StatusOr<kv_entry>& entry) {
        this->handle_read_back(claim, entry);
    });
}

void request_id_claims::handle_read_back(claim_attempt claim, const absl::StatusOr<kv_entry>& entry)
{
    if (!entry.ok() && !absl::IsNotFound(entry.status()))
        return claim.done(result::unavailable, {});
    if (entry.ok()) {
        const auto stored_claim = nlohmann::json::parse(entry->value, nullptr, false);
        const auto writer = string_field(stored_claim, "writer");
        if (writer == claim.writer)
            return claim.done(result::claimed, this->address);
        if (process_prefix(writer) != process_prefix(claim.writer))
            return claim.done(result::claimed_elsewhere, string_field(stored_claim, "entry"));
    }
    if (claim.writes_left == 0)
        return claim.done(result::unavailable, {});
    claim.expected = entry.ok() ? entry->revision : 0;
    this->write(std::move(claim));
}

void request_id_claims::release(const std::string& key, const std::string& writer)
{
    this->store.get(store_key(key), [this, key, writer](const absl::StatusOr<kv_entry>& entry) {
        if (!entry.ok())
            return;
        const auto claim = nlohmann::json::parse(entry->value, nullptr, false);
        if (string_field(claim, "writer") != writer)
            return;
        this->store.remove(store_key(key), entry->revision,
                           [](const absl::StatusOr<std::int64_t>&) {});
    });
}

} // namespace verbenalever
