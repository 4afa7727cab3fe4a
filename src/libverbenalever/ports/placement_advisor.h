#pragma once

#include "ports/advice.h"

#include <functional>

namespace verbenalever {

/// Client of the advisor, which decides which targets may run a step. The advisor serves one call
/// at a time for each calling VM.
class placement_advisor {
public:
    virtual ~placement_advisor() = default;

    virtual void ask(const advice_question& question, milliseconds timeout,
                     std::function<void(advice_answer)> done) = 0;
};

} // namespace verbenalever
