#pragma once

#include "ports/fleet_configuration.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace verbenalever {

/// Where the operators' configuration comes from.
class operator_source {
public:
    using listener = std::function<void(std::shared_ptr<const fleet_configuration>)>;

    virtual ~operator_source() = default;

    /// Read the configuration and go on watching it.
    virtual void start(listener changed) = 0;

    /// Say whether another process would tell of news (see absorb()), so that the source itself
    /// need not be asked often. When that ends, the source is read at once.
    virtual void set_peer_notifies(bool peer) = 0;

    /// @return what was read, in a form for absorb() of another process; empty while there is none
    [[nodiscard]] virtual std::string export_snapshot() const = 0;

    /// Take what another process has read, if it is newer.
    virtual void apply_snapshot(std::string_view snapshot) = 0;
};

} // namespace verbenalever
