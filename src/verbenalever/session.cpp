#include "session.h"

#include "exit_codes.h"
#include "flags.h"

#include <fmt/format.h>

#include <cstdio>
#include <thread>

namespace tool {

using verbenalever::http_call;
using verbenalever::http_header;
using verbenalever::http_result;
using verbenalever::milliseconds;

session::session() : http(this->event_loop) {}

http_result session::call(std::string_view method, std::string_view path, std::string body,
                          std::vector<http_header> headers)
{
    return this->call_entry(FLAGS_entry, method, path, std::move(body), std::move(headers));
}

http_result session::call_entry(std::string_view address, std::string_view method,
                                std::string_view path, std::string body,
                                std::vector<http_header> headers)
{
    if (!FLAGS_key.empty())
        headers.push_back({"Authorization", "Bearer " + FLAGS_key});
    http_call call{.method = std::string(method),
                   .url = fmt::format("http://{}{}", address, path),
                   .headers = std::move(headers),
                   .body = std::move(body),
                   .timeout = milliseconds(FLAGS_timeout_ms)};
    http_result result;
    this->http.start(std::move(call), [this, &result](http_result response) {
        result = std::move(response);
        this->event_loop.stop();
    });
    this->event_loop.run();
    return result;
}

verbenalever::event_loop& session::loop()
{
    return this->event_loop;
}

verbenalever::http_client& session::client()
{
    return this->http;
}

int report_failure(const http_result& result)
{
    if (!result.transport.ok()) {
        fmt::print(stderr, "verbenalever: {}\n", std::string(result.transport.message()));
        return result.may_have_been_sent ? exit_unknown : exit_unreachable;
    }
    const auto body = nlohmann::json::parse(result.body, nullptr, false);
    if (!body.is_object()) {
        fmt::print(stderr, "verbenalever: the entry responded with HTTP status {}\n",
                   result.status);
        return exit_failed;
    }
    fmt::print(stderr, "verbenalever: {} ({})\n", body.value("message", "no message"),
               body.value("code", ""));
    return body.value("outcome", "") == "unknown" ? exit_unknown : exit_not_run;
}

std::string describe_failure(const http_result& result)
{
    return result.transport.ok() ? fmt::format("HTTP status {}", result.status)
                                 : std::string(result.transport.message());
}

void sleep_for(milliseconds duration)
{
    std::this_thread::sleep_for(duration);
}

} // namespace tool
