#pragma once

#include "loop/clock.h"

#include <cstdint>

namespace verbenalever {

/// Optional parameters of a write to the key-value service.
struct kv_write_options {
    std::int64_t lease = 0; ///< the key is removed when this lease ends; zero for none
    milliseconds timeout{}; ///< for the response; zero: the client's default
};

} // namespace verbenalever
