#pragma once

#include "loop/clock.h"
#include "requests/request_answer.h"

#include <string>
#include <string_view>

namespace verbenalever {

/// @return the answer that a request did not run and will not run
/// @param retry_after after which the caller may send the request again
[[nodiscard]] request_answer not_run_answer(int status, std::string_view code,
                                            std::string_view message, milliseconds retry_after);

/// @return the answer that a request may have run: 504 after a timeout, else 502
[[nodiscard]] request_answer outcome_unknown_answer(const attempt_result& result);

/// @return the answer that another entry daemon accepted a request with the same caller's id
/// @param holder HTTP address of that entry daemon
[[nodiscard]] request_answer id_claimed_elsewhere_answer(const std::string& holder);

} // namespace verbenalever
