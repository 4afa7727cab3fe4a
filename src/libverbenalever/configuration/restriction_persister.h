#pragma once

#include "loop/timer.h"

namespace verbenalever {

class configuration_store;
class configuration_writer;

/// Writes restrictions in force into the kept configuration, as soon as the store takes them.
class restriction_persister {
public:
    restriction_persister(event_loop& loop, configuration_store& configuration,
                          configuration_writer& writer);

    /// Begin to try at intervals whatever peers brought.
    void start();

    /// Try now, on the entry that accepted a restriction.
    void persist_now();

private:
    void schedule_next_attempt();

    configuration_store& configuration;
    configuration_writer& writer;
    timer attempt_timer;
    bool writing = false;
};

} // namespace verbenalever
