#pragma once

#include "configuration/operator_configuration.h"
#include "loop/timer.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace verbenalever {

class event_log;
class kv_client;
struct kv_entry;

/// Holds the configuration in force on this entry and follows the one kept by the platform.
///
/// The revision in force never goes back, whatever an answer says.
class configuration_store {
public:
    using change_handler = std::function<void(const operator_configuration&)>;
    using apply_callback = std::function<void(absl::StatusOr<std::int64_t>)>;

    /// The key under which the platform keeps the configuration.
    static constexpr std::string_view kept_key = "configuration/current";

    configuration_store(event_loop& loop, kv_client& store, const event_log& log);

    /// Begin to follow the kept configuration.
    void start();

    /// @return the configuration in force; empty before the first is known
    [[nodiscard]] const operator_configuration& current() const;

    /// @return the text that current() was read from
    [[nodiscard]] const std::string& current_text() const;

    /// Be told of each newer configuration, after it is in force.
    void on_change(change_handler handler);

    /// Keep @p text as the new configuration.
    /// @param base the revision that the operator made the change from, zero for the first
    /// @param done the new revision; INVALID_ARGUMENT when the text has errors, ABORTED when the
    ///             kept revision is not @p base, UNAVAILABLE when the platform did not answer
    void apply(std::string text, std::int64_t base, apply_callback done);

    /// Put a configuration in force if it is newer, e.g. one that a peer sent.
    void offer(std::string_view text, std::int64_t revision);

private:
    void read();
    void follow(std::int64_t since);
    void retry_later();

    kv_client& store;
    const event_log& log;
    timer retry_timer;
    operator_configuration in_force;
    std::string text;
    std::vector<change_handler> handlers;
};

} // namespace verbenalever
