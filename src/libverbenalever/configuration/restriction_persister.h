#pragma once

#include "loop/timer.h"

namespace verbenalever {

class configuration_store;
class configuration_writer;

/// Writes the restrictions in force into the stored configuration, and retries until the store
/// accepts the write.
class restriction_persister {
public:
    restriction_persister(event_loop& loop, configuration_store& configuration,
                          configuration_writer& writer);

    /// Start to write at intervals; this also covers restrictions that were received from peers.
    void start();

    /// Write without waiting for the next interval, after this entry daemon accepted a restriction.
    void persist_now();

private:
    void schedule_next_attempt();

    configuration_store& configuration;
    configuration_writer& writer;
    timer attempt_timer;
    bool writing = false;
};

} // namespace verbenalever
