#pragma once

#include <msgpack.hpp>

#include <string>
#include <tuple>

namespace verbenalever {

/// Identifies one start of one task.
struct task_key {
    std::string task;
    std::string attempt;

    friend bool operator==(const task_key&, const task_key&) = default;
    friend bool operator<(const task_key& left, const task_key& right)
    {
        return std::tie(left.task, left.attempt) < std::tie(right.task, right.attempt);
    }

    MSGPACK_DEFINE_MAP(task, attempt)
};

} // namespace verbenalever
