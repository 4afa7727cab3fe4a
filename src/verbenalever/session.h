#pragma once

#include "http/http_call.h"
#include "http/http_client.h"
#include "http/http_result.h"
#include "loop/event_loop.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace tool {

/// State shared by chained verbs: the HTTP client and the id of the last submitted job.
class session {
public:
    session();

    /// Send one HTTP request to the entry and wait for its result. Adds the key of --key.
    [[nodiscard]] verbenalever::http_result
    call(std::string_view method, std::string_view path, std::string body = {},
         std::vector<verbenalever::http_header> headers = {});

    /// As call(), to the entry at @p address instead of --entry.
    [[nodiscard]] verbenalever::http_result
    call_entry(std::string_view address, std::string_view method, std::string_view path,
               std::string body = {}, std::vector<verbenalever::http_header> headers = {});

    /// @return the event loop, for verbs that make concurrent calls
    [[nodiscard]] verbenalever::event_loop& loop();
    [[nodiscard]] verbenalever::http_client& client();

    std::string last_job_id; ///< set by "job submit"; default of the other job verbs

private:
    verbenalever::event_loop event_loop;
    verbenalever::http_client http;
};

/// Print the error message of a failed call to standard error.
/// @return the exit code for the failure
[[nodiscard]] int report_failure(const verbenalever::http_result& result);

/// @return why a call failed, for messages
[[nodiscard]] std::string describe_failure(const verbenalever::http_result& result);

/// Block for @p duration without running the event loop.
void sleep_for(verbenalever::milliseconds duration);

} // namespace tool
