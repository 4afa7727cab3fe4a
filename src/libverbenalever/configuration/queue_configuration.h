#pragma once

#include "loop/clock.h"
#include "scheduling/resources.h"

#include <string>

namespace verbenalever {

/// One queue that callers submit to.
struct queue_configuration {
    std::string name;
    std::string work_class = "urgent"; ///< urgent, batch or service
    int priority = 0;                  ///< lower goes first under a strict policy
    milliseconds aging{10'000};        ///< after this wait, work may pass that of better priority
    std::string placement;             ///< placement policy; empty for the one of the class
    bool open = false;                 ///< whether work is accepted without a key
    bool stopped = false;
    milliseconds deadline{2000}; ///< for requests that name none
    std::size_t length_limit = 10000;
    resources demand{.slots = 1};
};

} // namespace verbenalever
