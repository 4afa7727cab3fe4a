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
    std::int64_t base = 0;            ///< revision that it was made from; zero for the first
    std::string text;                 ///< the whole new YAML
    std::string by;                   ///< id of the operator's key
    std::vector<std::string> settles; ///< restrictions that the text holds or undoes
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
    void edit(std::int64_t base, const std::string& by, std::vector<std::string> settles,
              const std::function<void(YAML::Node&)>& edit, callback done);

    /// Read the replaced revisions that the store still has, newest first.
    void history(history_callback done);

private:
    struct attempt;
    using attempt_ptr = std::shared_ptr<attempt>;

    void begin(const attempt_ptr& work);
    void refresh(const attempt_ptr& work);
    void read_history_slot(const attempt_ptr& work);
    void write_history_slot(const attempt_ptr& work, std::int64_t slot_revision);
    void put(const attempt_ptr& work);
    void put_answered(const attempt_ptr& work, const absl::StatusOr<std::int64_t>& revision);
    void read_back(const attempt_ptr& work);
    void judge(const attempt_ptr& work, const kv_entry& present);
    void judge_from_history(const attempt_ptr& work);
    void again(const attempt_ptr& work, void (configuration_writer::*step)(const attempt_ptr&));
    void accepted(const attempt_ptr& work, std::int64_t revision);
    void log_zone_changes(const attempt_ptr& work) const;
    void lost(const attempt_ptr& work);
    static void finish(const attempt_ptr& work, absl::StatusOr<configuration_document> outcome);

    event_loop& loop;
    kv_client& store;
    configuration_store& configuration;
    const event_log& log;
};

} // namespace verbenalever
