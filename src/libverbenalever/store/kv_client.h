#pragma once

#include "loop/clock.h"
#include "loop/endpoint.h"
#include "store/kv_listing.h"
#include "store/kv_write_options.h"

#include <absl/status/statusor.h>

#include <functional>
#include <string>
#include <string_view>

namespace verbenalever {

class counters;
class http_client;
struct http_result;

/// HTTP client of the platform's key-value service. Only this class knows the service's protocol.
///
/// Errors: UNAVAILABLE (no response: a write may or may not have taken effect), NOT_FOUND,
/// ABORTED (the key's revision was not the expected one; nothing was written).
class kv_client {
public:
    template <typename Value>
    using callback = std::function<void(absl::StatusOr<Value>)>;

    kv_client(http_client& http, counters& metrics, endpoint platform);

    void get(std::string_view key, callback<kv_entry> done);
    void list(std::string_view prefix, callback<kv_listing> done);

    /// Write if the key's revision is still @p expected (zero: the key must be absent).
    /// @param done receives the new revision
    void put(std::string_view key, std::string value, std::int64_t expected,
             callback<std::int64_t> done, const kv_write_options& options = {});

    /// Create a lease that keys can be bound to.
    /// @param done receives its id
    void grant_lease(milliseconds ttl, callback<std::int64_t> done);

    /// Delete if the key's revision is still @p expected.
    /// @param done receives the revision of the deletion, as changes from watch() have it
    void remove(std::string_view key, std::int64_t expected, callback<std::int64_t> done);

    /// Long-poll for changes under @p prefix after revision @p since. It counts as one call in the
    /// service's call budget.
    /// @param done receives the changes, none when @p wait passed; OUT_OF_RANGE when the service no
    ///             longer has the changes after @p since and the caller must list again
    void watch(std::string_view prefix, std::int64_t since, milliseconds wait,
               callback<kv_listing> done);

private:
    http_client& http;
    counters& metrics;
    std::string base_url;
};

} // namespace verbenalever
