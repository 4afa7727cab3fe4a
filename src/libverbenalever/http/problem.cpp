#include "http/problem.h"

#include <absl/strings/cord.h>
#include <absl/strings/numbers.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <algorithm>

namespace verbenalever {

namespace {

constexpr std::string_view retry_after_payload = "retry_after_ms";

std::optional<milliseconds> retry_after_of(const absl::Status& status)
{
    const auto payload =
        status.GetPayload({retry_after_payload.data(), retry_after_payload.size()});
    std::int64_t value = 0;
    if (!payload || !absl::SimpleAtoi(std::string(*payload), &value))
        return std::nullopt;
    return milliseconds(value);
}

} // namespace

void set_retry_after(absl::Status& status, milliseconds wait)
{
    status.SetPayload({retry_after_payload.data(), retry_after_payload.size()},
                      absl::Cord(fmt::format("{}", wait.count())));
}

http_response problem::response() const
{
    nlohmann::ordered_json body = {
        {"outcome", this->outcome == work_outcome::not_run ? "not_run" : "unknown"},
        {"code", this->code},
        {"message", this->message},
    };
    if (this->retry_after)
        body["retry_after_ms"] = this->retry_after->count();
    auto response = http_response::json(
        this->status, body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace));
    if (this->retry_after) {
        const auto seconds = std::max<std::int64_t>(1, (this->retry_after->count() + 999) / 1000);
        response.headers.push_back({"Retry-After", fmt::format("{}", seconds)});
    }
    return response;
}

int http_status_of(absl::StatusCode code)
{
    switch (code) {
    case absl::StatusCode::kOk:
        return 200;
    case absl::StatusCode::kInvalidArgument:
        return 400;
    case absl::StatusCode::kUnauthenticated:
        return 401;
    case absl::StatusCode::kPermissionDenied:
        return 403;
    case absl::StatusCode::kNotFound:
        return 404;
    case absl::StatusCode::kAborted:
    case absl::StatusCode::kAlreadyExists:
        return 409;
    case absl::StatusCode::kFailedPrecondition:
        return 422;
    case absl::StatusCode::kResourceExhausted:
        return 429;
    case absl::StatusCode::kUnavailable:
        return 503;
    case absl::StatusCode::kDeadlineExceeded:
        return 504;
    default:
        return 500;
    }
}

http_response not_run_response(const absl::Status& status, std::string_view code)
{
    const std::string message(status.message());
    return problem{.status = http_status_of(status.code()),
                   .outcome = work_outcome::not_run,
                   .code = code,
                   .message = message,
                   .retry_after = retry_after_of(status)}
        .response();
}

} // namespace verbenalever
