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

/// A change that an operator wants.
struct configuration_change {
    std::int64_t base = 0;             ///< revision that it was made from; zero for the first
    std::string text;                  ///< the whole new YAML
    std::string operator_key_id;       ///< id of the operator's key
    std::vector<std::string> resolves; ///< restrictions that the text holds or undoes
};

/// Makes changes kept: by compare-and-swap on their base, with the replaced document put into the
/// history first, and with a lost reply resolved by writing again and reading back.
class configuration_writer {
public:
    /// The accepted document. INVALID_ARGUMENT when the text has errors; ABORTED when a newer
    /// revision is kept, which the message names; UNAVAILABLE when the platform did not answer and
    /// the change is surely not accepted; UNKNOWN when it may or may not be accepted.
    using callback = std::function<void(absl::StatusOr<configuration_document>)>;
    using history_callback =
        std::function<void(absl::StatusOr<std::vector<configuration_document>>)>;

    /// Replaced revisions that the store keeps.
    static constexpr std::int64_t history_length = 16;

    configuration_writer(event_loop& loop, kv_client& store, configuration_store& configuration,
                         const event_log& log);
    ~configuration_writer();
    configuration_writer(const configuration_writer&) = delete;
    configuration_writer& operator=(const configuration_writer&) = delete;

    void apply(configuration_change change, callback done);

    /// Apply a change to the YAML of @p base.
    /// @param edit changes the parsed document
    void edit(std::int64_t base, const std::string& operator_key_id,
              std::vector<std::string> resolves, const std::function<void(YAML::Node&)>& edit,
              callback done);

    /// Read the replaced revisions that the store still has, newest first.
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
