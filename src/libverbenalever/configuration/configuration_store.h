#pragma once

#include "configuration/configuration_document.h"
#include "configuration/operator_configuration.h"
#include "configuration/restriction_set.h"
#include "loop/timer.h"

#include <functional>
#include <string>
#include <vector>

namespace verbenalever {

class event_log;
class kv_client;

/// Holds the configuration in force on this entry: the kept one, followed at the platform, narrowed
/// by the restrictions that are not kept yet.
///
/// The kept revision never goes back, whatever an answer says.
class configuration_store {
public:
    using change_handler = std::function<void(const operator_configuration&)>;

    /// The key under which the platform keeps the configuration.
    static constexpr std::string_view store_key = "configuration/current";

    configuration_store(event_loop& loop, kv_client& store, const event_log& log);

    /// Begin to follow the kept configuration.
    void start();

    /// @return the configuration in force, restrictions included; empty before one is known
    [[nodiscard]] const operator_configuration& current() const;

    /// @return the newest kept document that this entry knows
    [[nodiscard]] const configuration_document& stored() const;

    /// @return the restrictions in force that are not kept yet
    [[nodiscard]] const restriction_set& restrictions() const;

    /// Be told of each change of current(), after it is in force.
    void on_change(change_handler handler);

    /// Put a kept document in force if it is newer, e.g. one that a peer sent.
    /// @param value a configuration_document as the store carries it
    /// @param revision of @p value in the store; zero to take the one within
    void apply_if_newer(std::string_view value, std::int64_t revision);

    /// Put a restriction in force at once, unless the kept configuration has settled it.
    /// @return whether it was new
    bool add_restriction(restriction added);

private:
    void load();
    void watch_changes(std::int64_t since);
    void retry_later();
    void update_in_force();

    kv_client& store;
    const event_log& log;
    timer retry_timer;
    configuration_document document;
    operator_configuration parsed; ///< of document
    restriction_set unstored_restrictions;
    operator_configuration in_force;
    std::vector<change_handler> handlers;
};

} // namespace verbenalever
