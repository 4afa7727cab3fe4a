#pragma once

#include <msgpack.hpp>

#include <compare>
#include <string>

namespace verbenalever {

/// Names one start of one task.
struct task_key {
    std::string task;
    std::string attempt;

    friend auto operator<=>(const task_key&, const task_key&) = default;

    MSGPACK_DEFINE_MAP(task, attempt)
};

} // namespace verbenalever
