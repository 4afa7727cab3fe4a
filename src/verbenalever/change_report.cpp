#include "change_report.h"

#include "exit_codes.h"
#include "flags.h"
#include "session.h"

#include <fmt/format.h>
#include <fmt/ranges.h>

#include <cctype>
#include <cstdio>

namespace tool {

namespace {

/// With --wait, the entry delays its response for at most this long.
constexpr int max_wait_ms = 30000;

/// @return the strings of the array @p member of @p body, separated by spaces
std::string join_names(const nlohmann::json& body, const char* member)
{
    return fmt::format("{}", fmt::join(body.value(member, std::vector<std::string>()), " "));
}

} // namespace

verbenalever::http_result send_change(session& current_session, std::string_view method,
                                      std::string_view path, std::string body)
{
    std::vector<verbenalever::http_header> headers;
    if (FLAGS_base >= 0)
        headers.push_back({"If-Match", fmt::format("{}", FLAGS_base)});
    const auto query = FLAGS_wait ? fmt::format("?wait_ms={}", max_wait_ms) : std::string();
    return current_session.call(method, fmt::format("/v1/admin/{}{}", path, query), std::move(body),
                                std::move(headers));
}

int report_change(const verbenalever::http_result& result)
{
    if (!result.success())
        return report_failure(result);
    if (FLAGS_json) {
        fmt::print("{}\n", result.body);
        return exit_ok;
    }
    const auto body = nlohmann::json::parse(result.body);
    const bool stored = body.value("state", "") == "kept";
    fmt::print("{}\n", stored ? fmt::format("kept: revision {}", body.value("revision", 0))
                              : std::string("in force, not yet kept"));
    fmt::print("in force at  {}\n", join_names(body, "in_force"));
    if (body.contains("warning"))
        fmt::print(stderr, "warning: {}\n", body.value("warning", ""));
    if (const auto pending = join_names(body, "pending"); !pending.empty())
        fmt::print("pending at   {}\n", pending);
    if (const auto not_reached = join_names(body, "not_reached"); !not_reached.empty())
        fmt::print("not reached  {}\n", not_reached);
    return exit_ok;
}

std::string encode_path_segment(std::string_view text)
{
    std::string result;
    for (const char character : text) {
        const auto byte = static_cast<unsigned char>(character);
        const bool unreserved = std::isalnum(byte) != 0 || character == '-' || character == '_' ||
                                character == '.' || character == '~';
        result += unreserved ? std::string(1, character) : fmt::format("%{:02X}", byte);
    }
    return result;
}

} // namespace tool
