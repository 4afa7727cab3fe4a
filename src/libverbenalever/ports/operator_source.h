#pragma once

#include "ports/fleet_configuration.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace verbenalever {

/// Source of the operators' configuration.
class operator_source {
public:
    using listener = std::function<void(std::shared_ptr<const fleet_configuration>)>;

    virtual ~operator_source() = default;

    /// Read the configuration and watch it for changes.
    /// @param changed called with the configuration when it was first read and after each change
    virtual void start(listener changed) = 0;

    /// Set whether another process sends new configurations to this one (see apply_snapshot()); if
    /// so, the source itself is polled less often. When @p peer becomes false the source is read
    /// at once.
    virtual void set_peer_notifies(bool peer) = 0;

    /// @return the current configuration, encoded for apply_snapshot() in another process; empty
    ///         until a configuration was read
    [[nodiscard]] virtual std::string export_snapshot() const = 0;

    /// Replace the configuration by one that another process has read, if that one is newer.
    virtual void apply_snapshot(std::string_view snapshot) = 0;
};

} // namespace verbenalever
