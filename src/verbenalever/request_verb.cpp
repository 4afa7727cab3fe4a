#include "request_verb.h"

#include "exit_codes.h"
#include "flags.h"
#include "session.h"

#include <fmt/format.h>

#include <cstdio>

namespace tool {

int run_request(session& current_session, std::span<const std::string> arguments)
{
    if (arguments.size() != 1) {
        fmt::print(stderr, "verbenalever request: expected exactly one argument, QUEUE\n");
        return exit_usage;
    }
    std::vector<verbenalever::http_header> headers{
        {"Repeatable", FLAGS_repeatable ? "true" : "false"}};
    if (FLAGS_deadline_ms > 0)
        headers.push_back({"Deadline-Ms", fmt::format("{}", FLAGS_deadline_ms)});
    if (!FLAGS_request_id.empty())
        headers.push_back({"Request-Id", FLAGS_request_id});
    const auto result = current_session.call("POST", fmt::format("/v1/requests/{}", arguments[0]),
                                             FLAGS_body, std::move(headers));
    if (!result.success())
        return report_failure(result);
    fmt::print("{}\n", result.body);
    return exit_ok;
}

} // namespace tool
