#pragma once

#include "loop/clock.h"

#include <cstdint>

namespace verbenalever {

/// What a write to the key-value service may ask for besides.
struct kv_write_options {
    std::int64_t lease = 0; ///< the key is removed when this lease ends; zero for none
    milliseconds timeout{}; ///< longest wait for the reply; zero for the usual one
};

} // namespace verbenalever
