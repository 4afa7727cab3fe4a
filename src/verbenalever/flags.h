#pragma once

#include <gflags/gflags.h>

DECLARE_string(entry);
DECLARE_string(key);
DECLARE_bool(json);
DECLARE_int32(timeout_ms);
DECLARE_string(body);
DECLARE_int32(deadline_ms);
DECLARE_bool(repeatable);
DECLARE_string(request_id);
DECLARE_int32(tasks);
DECLARE_string(demand);
DECLARE_string(command);
DECLARE_int64(base);
DECLARE_double(rate);
DECLARE_double(duration_s);
DECLARE_string(to);
DECLARE_string(path);
DECLARE_string(queues);
DECLARE_string(keys);
DECLARE_int32(work_ms);
DECLARE_bool(request_ids);
DECLARE_uint32(seed);
DECLARE_bool(csv);
DECLARE_string(limits);
DECLARE_int32(grace_ms);
