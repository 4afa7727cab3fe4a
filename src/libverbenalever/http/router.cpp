#include "http/router.h"

#include "http/problem.h"

#include <fmt/format.h>

#include <optional>
#include <span>

namespace verbenalever {

namespace {

constexpr int status_not_found = 404;
constexpr int status_method_not_allowed = 405;

std::vector<std::string> split_path(std::string_view path)
{
    std::vector<std::string> segments;
    while (!path.empty()) {
        path.remove_prefix(path.front() == '/' ? 1 : 0);
        const auto end = path.find('/');
        segments.emplace_back(path.substr(0, end));
        path = end == std::string_view::npos ? std::string_view() : path.substr(end);
    }
    return segments;
}

bool is_parameter(std::string_view segment)
{
    return segment.starts_with('{') && segment.ends_with('}');
}

std::optional<path_parameters> match(std::span<const std::string> pattern,
                                     std::span<const std::string> path)
{
    if (pattern.size() != path.size())
        return std::nullopt;
    path_parameters parameters;
    for (std::size_t i = 0; i < pattern.size(); ++i) {
        if (is_parameter(pattern[i]) && !path[i].empty())
            parameters[pattern[i].substr(1, pattern[i].size() - 2)] = path[i];
        else if (pattern[i] != path[i])
            return std::nullopt;
    }
    return parameters;
}

} // namespace

void router::add(std::string_view method, std::string_view pattern, handler action)
{
    this->routes.push_back({std::string(method), split_path(pattern), std::move(action)});
}

void router::dispatch(const http_request& request, http_responder respond) const
{
    const auto path = split_path(request.path);
    std::string allowed;
    for (const auto& candidate : this->routes) {
        const auto parameters = match(candidate.segments, path);
        if (!parameters)
            continue;
        if (candidate.method == request.method) {
            candidate.action(request, *parameters, std::move(respond));
            return;
        }
        allowed += allowed.empty() ? candidate.method : ", " + candidate.method;
    }
    const bool known_path = !allowed.empty();
    const auto message = known_path ? fmt::format("{} is not allowed on {}; use {}", request.method,
                                                  request.path, allowed)
                                    : fmt::format("no such path: {}", request.path);
    auto response = problem{.status = known_path ? status_method_not_allowed : status_not_found,
                            .outcome = work_outcome::not_run,
                            .code = known_path ? "method_not_allowed" : "no_such_path",
                            .message = message,
                            .retry_after = std::nullopt}
                        .response();
    if (known_path)
        response.headers.push_back({"Allow", allowed});
    respond(std::move(response));
}

} // namespace verbenalever
