#pragma once

#include "loop/event_loop.h"
#include "loop/timer.h"

#include <gtest/gtest.h>

namespace verbenalever {

/// An event loop that tests run for a given time.
class loop_fixture : public testing::Test {
protected:
    void run_for(milliseconds span)
    {
        timer end(this->loop, [this] { this->loop.stop(); });
        end.start_once(span);
        this->loop.run();
    }

    event_loop loop;
};

} // namespace verbenalever
