#pragma once

#include "configuration/configuration_document.h"
#include "loop/clock.h"

#include <absl/status/statusor.h>
#include <yaml-cpp/yaml.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace verbenalever {

class configuration_store;
class event_log;
class event_loop;
class kv_client;
struct kv_entry;

/// A change that an operator requested.
struct configuration_change {
    std::int64_t base = 0;             ///< revision that the change is based on; zero for the first
    std::string text;                  ///< the whole new YAML
    std::string operator_key_id;       ///< id of the operator's key
    std::vector<std::string> resolves; ///< ids of restrictions that the text includes or reverses
};

/// Writes changes to the store by compare-and-swap on the revision that they are based on. The
/// replaced document is first copied to the history. When the reply to a write is lost, the writer
/// repeats the write and reads the store to find out whether the change was accepted.
class configuration_writer {
public:
    /// Receives the accepted document. INVALID_ARGUMENT when the text has errors; ABORTED when a
    /// newer revision is stored, which the message names; UNAVAILABLE when the store did not answer
    /// and the change was certainly not accepted; UNKNOWN when it may have been accepted.
    using callback = std::function<void(absl::StatusOr<configuration_document>)>;
    using history_callback =
        std::function<void(absl::StatusOr<std::vector<configuration_document>>)>;

    /// Number of replaced revisions that the history in the store retains.
    static constexpr std::int64_t history_length = 16;

    configuration_writer(event_loop& loop, kv_client& store, configuration_store& configuration,
                         const event_log& log);
    ~configuration_writer();
    configuration_writer(const configuration_writer&) = delete;
    configuration_writer& operator=(const configuration_writer&) = delete;

    /// Validate a change and write it to the store.
    void apply(configuration_change change, callback done);

    /// Apply an edit to the stored document and write the result.
    /// @param base must be the stored revision that this entry daemon has; ABORTED otherwise
    /// @param edit modifies the parsed YAML
    void edit(std::int64_t base, const std::string& operator_key_id,
              std::vector<std::string> resolves, const std::function<void(YAML::Node&)>& edit,
              callback done);

    /// Read the replaced revisions that the history still has, newest first.
    void history(history_callback done);

private:
    struct attempt;
    using attempt_ptr = std::shared_ptr<attempt>;

    void start_attempt(const attempt_ptr& pending);
    void read_current(const attempt_ptr& pending);
    void read_history_slot(const attempt_ptr& pending);
    void write_history_slot(const attempt_ptr& pending, std::int64_t slot_revision);
    void write_current(const attempt_ptr& pending);
    void handle_write_result(const attempt_ptr& pending,
                             const absl::StatusOr<std::int64_t>& revision);
    void read_back(const attempt_ptr& pending);
    void resolve_from_current(const attempt_ptr& pending, const kv_entry& present);
    void resolve_from_history(const attempt_ptr& pending);
    void retry_later(const attempt_ptr& pending,
                     void (configuration_writer::*step)(const attempt_ptr&));
    void finish_accepted(const attempt_ptr& pending, std::int64_t revision);
    void log_zone_changes(const attempt_ptr& pending) const;
    void reject_as_conflict(const attempt_ptr& pending);
    static void finish(const attempt_ptr& pending, absl::StatusOr<configuration_document> outcome);

    event_loop& loop;
    kv_client& store;
    configuration_store& configuration;
    const event_log& log;
};

} // namespace verbenalever
