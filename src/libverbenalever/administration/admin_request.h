#pragma once

#include "http/http_request.h"
#include "http/router.h"
#include "loop/clock.h"

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace verbenalever {

/// An operator's HTTP request and the key that it came with. References data of the HTTP server.
struct admin_request {
    const http_request& http;
    const path_parameters& parameters;
    std::string operator_key_id; ///< id of the operator's key

    /// @return the revision in If-Match, or @p fallback without that header; INVALID_ARGUMENT when
    ///         its value is not a revision
    [[nodiscard]] absl::StatusOr<std::int64_t> base_revision(std::int64_t fallback) const;

    /// @return the JSON object in the body; INVALID_ARGUMENT when the body is not an object or
    ///         has members other than @p members
    [[nodiscard]] absl::StatusOr<nlohmann::json>
    parse_body(std::initializer_list<std::string_view> members) const;

    /// @return the query's wait_ms, or @p fallback without it; INVALID_ARGUMENT above a minute
    [[nodiscard]] absl::StatusOr<milliseconds> wait_time(milliseconds fallback) const;
};

/// @return the string member @p name, or "" when it is absent; INVALID_ARGUMENT for another type
[[nodiscard]] absl::StatusOr<std::string> text_member(const nlohmann::json& object,
                                                      std::string_view name);

} // namespace verbenalever
