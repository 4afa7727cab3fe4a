#include "store/kv_client.h"

#include "http/http_client.h"
#include "timeline/counters.h"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <charconv>

namespace verbenalever {

namespace {

constexpr milliseconds default_call_timeout{2000};
constexpr milliseconds watch_response_margin{2000};

std::int64_t parse_revision(std::string_view text)
{
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

absl::Status status_of(const http_result& result)
{
    if (!result.transport.ok())
        return result.transport;
    switch (result.status) {
    case 404:
        return absl::NotFoundError("no such key");
    case 410:
        return absl::OutOfRangeError("the revision is too old to watch from");
    case 412:
        return absl::AbortedError("the key was changed by another writer");
    default:
        return absl::UnavailableError(
            fmt::format("the key-value service answered {}", result.status));
    }
}

absl::StatusOr<kv_listing> parse_listing(const http_result& result)
{
    if (!result.success())
        return status_of(result);
    const auto json = nlohmann::json::parse(result.body, nullptr, false);
    if (!json.is_object() || !json.contains("entries") || !json["entries"].is_array())
        return absl::UnavailableError("the key-value service sent a malformed listing");
    kv_listing listing{.revision = json.value("revision", std::int64_t{0}), .entries = {}};
    for (const auto& item : json["entries"])
        listing.entries.push_back({.key = item.value("key", ""),
                                   .value = item.value("value", ""),
                                   .revision = item.value("revision", std::int64_t{0}),
                                   .deleted = item.value("deleted", false)});
    return listing;
}

absl::StatusOr<std::int64_t> parse_written_revision(const http_result& result)
{
    if (!result.success())
        return status_of(result);
    return parse_revision(result.header("ETag"));
}

http_header revision_condition(std::int64_t expected)
{
    if (expected == 0)
        return {"If-None-Match", "*"};
    return {"If-Match", fmt::format("{}", expected)};
}

} // namespace

kv_client::kv_client(http_client& http, counters& metrics, endpoint platform)
    : http(http), metrics(metrics), base_url(fmt::format("http://{}", platform.text()))
{
}

void kv_client::get(std::string_view key, callback<kv_entry> done)
{
    this->metrics.add("kv_reads");
    http_call call{.url = fmt::format("{}/kv/{}", this->base_url, key),
                   .timeout = default_call_timeout};
    this->http.start(std::move(call),
                     [key = std::string(key), done = std::move(done)](http_result result) {
                         if (!result.success())
                             return done(status_of(result));
                         done(kv_entry{.key = key,
                                       .value = std::move(result.body),
                                       .revision = parse_revision(result.header("ETag"))});
                     });
}

void kv_client::list(std::string_view prefix, callback<kv_listing> done)
{
    this->metrics.add("kv_reads");
    http_call call{.url = fmt::format("{}/kv?prefix={}", this->base_url, prefix),
                   .timeout = default_call_timeout};
    this->http.start(std::move(call), [done = std::move(done)](const http_result& result) {
        done(parse_listing(result));
    });
}

void kv_client::put(std::string_view key, std::string value, std::int64_t expected,
                    callback<std::int64_t> done, const kv_write_options& options)
{
    this->metrics.add("kv_writes");
    const auto lease_query =
        options.lease == 0 ? std::string() : fmt::format("?lease={}", options.lease);
    http_call call{.method = "PUT",
                   .url = fmt::format("{}/kv/{}{}", this->base_url, key, lease_query),
                   .headers = {revision_condition(expected)},
                   .body = std::move(value),
                   .timeout =
                       options.timeout == milliseconds(0) ? default_call_timeout : options.timeout};
    this->http.start(std::move(call), [done = std::move(done)](const http_result& result) {
        done(parse_written_revision(result));
    });
}

void kv_client::grant_lease(milliseconds ttl, callback<std::int64_t> done)
{
    this->metrics.add("kv_writes");
    http_call call{.method = "POST",
                   .url = fmt::format("{}/leases", this->base_url),
                   .body = nlohmann::json{{"ttl_ms", ttl.count()}}.dump(),
                   .timeout = default_call_timeout};
    this->http.start(std::move(call), [done = std::move(done)](const http_result& result) {
        if (!result.success())
            return done(status_of(result));
        const auto json = nlohmann::json::parse(result.body, nullptr, false);
        if (!json.is_object() || !json.contains("lease") || !json["lease"].is_number_integer())
            return done(absl::UnavailableError("the key-value service sent a malformed lease"));
        done(json["lease"].get<std::int64_t>());
    });
}

void kv_client::remove(std::string_view key, std::int64_t expected, callback<std::int64_t> done)
{
    this->metrics.add("kv_writes");
    http_call call{.method = "DELETE",
                   .url = fmt::format("{}/kv/{}", this->base_url, key),
                   .headers = {revision_condition(expected)},
                   .timeout = default_call_timeout};
    this->http.start(std::move(call), [done = std::move(done)](const http_result& result) {
        done(parse_written_revision(result));
    });
}

void kv_client::watch(std::string_view prefix, std::int64_t since, milliseconds wait,
                      callback<kv_listing> done)
{
    this->metrics.add("kv_watches");
    http_call call{.url = fmt::format("{}/watch?prefix={}&since={}&wait={}", this->base_url, prefix,
                                      since, wait.count()),
                   .timeout = wait + watch_response_margin};
    this->http.start(std::move(call), [done = std::move(done)](const http_result& result) {
        done(parse_listing(result));
    });
}

} // namespace verbenalever
