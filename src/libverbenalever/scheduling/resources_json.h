#pragma once

#include "scheduling/resources.h"

#include <nlohmann/json.hpp>

namespace verbenalever {

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(resources, slots, processors_milli, memory_mb,
                                                accelerators)

} // namespace verbenalever
