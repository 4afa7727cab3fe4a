#pragma once

#include "http/http_call.h"
#include "http/http_client.h"
#include "http/http_result.h"
#include "loop/event_loop.h"

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace tool {

/// What chained verbs share: the connection to an entry, and the last job's id.
class session {
public:
    session();

    /// Make one call to the entry and wait for its end. Adds the key of --key.
    [[nodiscard]] verbenalever::http_result
    call(std::string_view method, std::string_view path, std::string body = {},
         std::vector<verbenalever::http_header> headers = {});

    /// @return the loop, for verbs that do more than one call at a time
    [[nodiscard]] verbenalever::event_loop& loop();
    [[nodiscard]] verbenalever::http_client& client();

    std::string last_job_id;

private:
    verbenalever::event_loop event_loop;
    verbenalever::http_client http;
};

/// Print a failed call's message to standard error.
/// @return the exit code that stands for it
[[nodiscard]] int report_failure(const verbenalever::http_result& result);

/// Wait for @p span without handling events.
void sleep_for(verbenalever::milliseconds duration);

} // namespace tool
