#pragma once

#include "jobs/task_place.h"

#include <msgpack.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace verbenalever {

/// The reservations that an entry daemon made for a reserve_request; unlisted tasks got none.
struct reserve_answer {
    static constexpr const char* type = "reserve_answer";

    std::uint64_t number = 0;
    std::string job;
    std::vector<task_place> granted;

    MSGPACK_DEFINE_MAP(number, job, granted)
};

} // namespace verbenalever
