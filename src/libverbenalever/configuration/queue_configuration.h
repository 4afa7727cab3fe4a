#pragma once

#include "loop/clock.h"
#include "scheduling/resources.h"

#include <string>

namespace verbenalever {

/// Settings of one queue that callers submit work to.
struct queue_configuration {
    std::string name;
    std::string work_class = "urgent"; ///< urgent, batch or service
    int priority = 0;                  ///< work of a lower value goes first under the strict policy
    milliseconds aging{10'000}; ///< after this wait, work may go before work of a better priority
    std::string placement;      ///< placement policy; empty for the default of the work class
    bool open = false;          ///< whether work is accepted without a key
    bool stopped = false;
    milliseconds deadline{2000}; ///< for requests without a deadline of their own
    std::size_t length_limit = 10000;
    resources demand{.slots = 1};
};

} // namespace verbenalever
