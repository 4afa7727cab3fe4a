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

/// Holds the configuration in force on this entry daemon: the stored configuration, which it
/// watches in the platform's key-value store, narrowed by the restrictions that are not stored yet.
///
/// The revision never decreases: older documents from the store or from peers are ignored.
class configuration_store {
public:
    using change_handler = std::function<void(const operator_configuration&)>;

    /// Key of the configuration in the key-value store.
    static constexpr std::string_view store_key = "configuration/current";

    configuration_store(event_loop& loop, kv_client& store, const event_log& log);

    /// Load the stored configuration and start to watch it for changes.
    void start();

    /// @return the configuration in force, restrictions included; empty until one is loaded
    [[nodiscard]] const operator_configuration& current() const;

    /// @return the newest stored document that this entry daemon has received
    [[nodiscard]] const configuration_document& stored() const;

    /// @return the restrictions in force that are not stored yet
    [[nodiscard]] const restriction_set& restrictions() const;

    /// Add a handler that is called after each change of current().
    void on_change(change_handler handler);

    /// Put a stored document in force if it is newer than the present one, e.g. one from a peer.
    /// @param value encoded configuration_document
    /// @param revision of @p value in the store; zero to use the revision inside @p value
    void apply_if_newer(std::string_view value, std::int64_t revision);

    /// Put a restriction in force at once, unless the stored configuration already includes or
    /// reverses it.
    /// @return whether the restriction was added
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
    operator_configuration parsed; ///< parsed text of document
    restriction_set unstored_restrictions;
    operator_configuration in_force;
    std::vector<change_handler> handlers;
};

} // namespace verbenalever
