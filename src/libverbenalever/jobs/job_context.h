#pragma once

#include <string>

namespace verbenalever {

class configuration_store;
class counters;
class event_log;
class event_loop;
class fleet_view;
class job_messenger;
class kv_client;
class peer_mesh;
class record_writer;
class target_registry;
struct entry_settings;

/// Objects shared by the job classes of an entry daemon. All outlive the users of the context.
struct job_context {
    event_loop& loop;
    const entry_settings& settings;
    peer_mesh& mesh;
    job_messenger& messenger;
    kv_client& store;
    record_writer& records;
    const fleet_view& fleet;
    const target_registry& registry;
    counters& metrics;
    const event_log& log;
    std::string writer; ///< this process's name in records: the entry daemon's name and incarnation
};

} // namespace verbenalever
