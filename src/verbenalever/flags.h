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
DECLARE_string(job_id);
DECLARE_bool(gang);
DECLARE_bool(service);
DECLARE_bool(once);
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
DECLARE_bool(wait);
DECLARE_bool(compare);
DECLARE_bool(live_targets);
DECLARE_string(id);
DECLARE_string(drain);
DECLARE_bool(lower);
DECLARE_int32(interval_ms);
DECLARE_int32(times);
DECLARE_string(job);
DECLARE_string(task);
DECLARE_string(request);
DECLARE_string(target);
DECLARE_string(team);
