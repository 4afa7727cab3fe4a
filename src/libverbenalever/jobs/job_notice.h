#pragma once

#include <msgpack.hpp>

#include <string>

namespace verbenalever {

/// Something about a job has changed in the store and is worth a look now.
struct job_notice {
    static constexpr const char* type = "job_notice";

    std::string job;  ///< empty: any
    std::string what; ///< cancelled, or released (its driver gave it up)

    MSGPACK_DEFINE_MAP(job, what)
};

} // namespace verbenalever
