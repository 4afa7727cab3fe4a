#pragma once

#include "http/http_response.h"
#include "loop/clock.h"

#include <absl/status/status.h>

#include <optional>
#include <string_view>

namespace verbenalever {

/// What a caller may conclude about work that was not answered.
enum class work_outcome {
    not_run, ///< it did not run and will not
    unknown, ///< it may have run once
};

/// A refusal or failure, as callers receive it.
struct problem {
    int status = 500;
    work_outcome outcome = work_outcome::not_run;
    std::string_view code;    ///< stable word for programs
    std::string_view message; ///< sentence for people
    std::optional<milliseconds> retry_after;

    /// @return the response: a JSON body and, where set, a Retry-After header in whole seconds
    [[nodiscard]] http_response response() const;
};

/// @return the HTTP status that stands for an absl status code
[[nodiscard]] int http_status_of(absl::StatusCode code);

/// Let @p status say when to try again; not_run_response() sends it as Retry-After.
void set_retry_after(absl::Status& status, milliseconds wait);

/// @return a response for @p status with outcome "not run"
[[nodiscard]] http_response not_run_response(const absl::Status& status, std::string_view code);

} // namespace verbenalever
