#pragma once

#include "http/http_header.h"

#include <string>
#include <string_view>
#include <vector>

namespace verbenalever {

struct http_result;

} // namespace verbenalever

namespace tool {

class session;

/// Send a change request to a path under /v1/admin. --base sets the revision in If-Match, --wait
/// sets how long the entry waits until the change is in force everywhere.
/// @param path path below /v1/admin/, without a query
[[nodiscard]] verbenalever::http_result send_change(session& current_session,
                                                    std::string_view method, std::string_view path,
                                                    std::string body);

/// Print whether a change is stored, at which entries it is in force or pending, and which entries
/// were not reached. Print the error if the request failed.
/// @return the exit code for the response
[[nodiscard]] int report_change(const verbenalever::http_result& result);

/// @return @p text percent-encoded, except for the unreserved characters of URLs
[[nodiscard]] std::string encode_path_segment(std::string_view text);

} // namespace tool
