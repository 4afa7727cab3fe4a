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

/// Send a change under /v1/admin, with the waiting time of --wait and the revision of --base.
[[nodiscard]] verbenalever::http_result send_change(session& current_session,
                                                    std::string_view method, std::string_view path,
                                                    std::string body);

/// Print whether a change is kept, where it is in force and which entries are not reached.
/// @return the exit code that stands for the answer
[[nodiscard]] int report_change(const verbenalever::http_result& result);

/// @return @p text with what has a meaning in a URL written as %XX
[[nodiscard]] std::string encode_path_segment(std::string_view text);

} // namespace tool
