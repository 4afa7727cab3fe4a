#pragma once

#include "workflows/workflow_spec.h"

#include <msgpack.hpp>

#include <string>

namespace verbenalever {

/// A workflow as a caller submits it. The caller's API key and the queue have been checked.
struct workflow_submission {
    std::string id;
    std::string queue;
    std::string team;
    workflow_spec spec;

    MSGPACK_DEFINE(id, queue, team, spec)
};

} // namespace verbenalever
