#pragma once

#include "http/http_response.h"
#include "loop/clock.h"

#include <absl/status/status.h>

#include <optional>
#include <string_view>

namespace verbenalever {

/// What is known about the execution of a request that has no result.
enum class work_outcome {
    not_run, ///< it was not executed and will not be
    unknown, ///< it may have been executed once
};

/// Content of an error response.
struct problem {
    int status = 500;
    work_outcome outcome = work_outcome::not_run;
    std::string_view code;    ///< stable, machine-readable error code
    std::string_view message; ///< human-readable description
    std::optional<milliseconds> retry_after;

    /// @return the response: a JSON body and, if retry_after is set, a Retry-After header in
    ///         seconds, rounded up
    [[nodiscard]] http_response response() const;
};

/// @return the HTTP status that corresponds to an absl status code
[[nodiscard]] int http_status_of(absl::StatusCode code);

/// Store in @p status the time after which the caller may retry; not_run_response() sends it in the
/// Retry-After header and the body.
void set_retry_after(absl::Status& status, milliseconds wait);

/// @return the error response for @p status, with the outcome "not_run"
[[nodiscard]] http_response not_run_response(const absl::Status& status, std::string_view code);

} // namespace verbenalever
