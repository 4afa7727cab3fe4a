#pragma once

#include <msgpack.hpp>

#include <string>

namespace verbenalever {

/// Notifies entry daemons that a job was cancelled or released, so that they need not first read
/// this from the store.
struct job_notice {
    static constexpr const char* type = "job_notice";

    std::string job;  ///< empty when several were released
    std::string what; ///< "cancelled" or "released" (it may need a new driver)

    MSGPACK_DEFINE_MAP(job, what)
};

} // namespace verbenalever
